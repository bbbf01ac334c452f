/** Decision logic without threads, sockets or clocks: it maps events and the current time to typed commands. */
package org.hawthornglade.core;
