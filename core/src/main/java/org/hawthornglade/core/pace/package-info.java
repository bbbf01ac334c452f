/** The service rate of servers and the concurrency that they sustain; no threads, sockets or clocks. */
package org.hawthornglade.core.pace;
