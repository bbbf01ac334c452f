/** Reconciles the assignment rows with the configuration and the instances. */
package org.hawthornglade.entry.placement;
