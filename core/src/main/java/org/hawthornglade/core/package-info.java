/** Decisions without threads, sockets or clocks: events and the time go in, typed commands come out. */
package org.hawthornglade.core;
