/** Keeps the assignment rows in line with the configuration and the instances. */
package org.hawthornglade.entry.placement;
