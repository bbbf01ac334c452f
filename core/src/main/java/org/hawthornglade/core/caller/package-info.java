/** Which clients of an entry are closed because they are slow or do not read; no threads, sockets or clocks. */
package org.hawthornglade.core.caller;
