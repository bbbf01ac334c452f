/** The commands that run an entry on the users' platform; the one place that names both the entry and its adapter. */
package org.hawthornglade.app.gateway;
