/** Commands that run an entry on the users' platform; the only package that depends on both the gateway and the adapter. */
package org.hawthornglade.app.gateway;
