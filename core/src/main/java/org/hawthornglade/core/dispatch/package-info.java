/** Where a call goes, whether it waits and when it is refused; no threads, sockets or clocks. */
package org.hawthornglade.core.dispatch;
