/** Limits for the memory in which an entry keeps what others send. */
package org.hawthornglade.gateway.memory;
