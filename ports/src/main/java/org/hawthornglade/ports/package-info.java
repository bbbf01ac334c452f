/** Interfaces to what the platform provides: table service, instance list, weight store and engines. */
package org.hawthornglade.ports;
