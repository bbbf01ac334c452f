/** Structured, non-blocking logs of bounded volume: one line of key=value pairs for each event. */
package org.hawthornglade.gateway.log;
