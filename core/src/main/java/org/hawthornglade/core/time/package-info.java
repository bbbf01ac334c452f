/** Clocks; all times are in milliseconds. */
package org.hawthornglade.core.time;
