/** Which instance may hold which replica: pure decisions over the assignment rows. */
package org.hawthornglade.core.placement;
