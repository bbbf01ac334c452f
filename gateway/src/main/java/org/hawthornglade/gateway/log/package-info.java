/** Structured logs: one line of key=value pairs an event, bounded in volume, never blocking. */
package org.hawthornglade.gateway.log;
