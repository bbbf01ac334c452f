/** What the platform gives, behind interfaces: table service, instance list, weight store and engines. */
package org.hawthornglade.ports;
