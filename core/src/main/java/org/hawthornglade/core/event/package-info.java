/** The timeline: typed events recorded by every process. */
package org.hawthornglade.core.event;
