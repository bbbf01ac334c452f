/** Assignments: which instance may load which replica, the rows in the table service and the rules for moving them. */
package org.hawthornglade.core.assignment;
