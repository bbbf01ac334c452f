/** The time line: typed events that every process records. */
package org.hawthornglade.core.event;
