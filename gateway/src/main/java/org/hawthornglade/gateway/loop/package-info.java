/** The single event loop of an entry and its timers. */
package org.hawthornglade.gateway.loop;
