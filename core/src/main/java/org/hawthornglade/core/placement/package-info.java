/** Pure decisions over the assignment rows about which instance may hold which replica. */
package org.hawthornglade.core.placement;
