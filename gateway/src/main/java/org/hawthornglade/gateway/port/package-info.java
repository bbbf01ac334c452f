/** Interfaces of the entry to the platform that it runs on, implemented by an adapter. */
package org.hawthornglade.gateway.port;
