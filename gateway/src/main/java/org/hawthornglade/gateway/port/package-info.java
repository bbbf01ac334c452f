/** What the entry needs of the ground that it runs on; implemented by an adapter. */
package org.hawthornglade.gateway.port;
