/** Dispatch decisions: where a call is sent, whether it waits and when it is refused; no threads, sockets or clocks. */
package org.hawthornglade.core.dispatch;
