/** The instances behind the services: what the platform's list says of them and what may be sent to them. */
package org.hawthornglade.core.fleet;
