/** Commands that run an entry on the users' platform; the only package that depends on both gateway and adapter. */
package org.hawthornglade.app.gateway;
