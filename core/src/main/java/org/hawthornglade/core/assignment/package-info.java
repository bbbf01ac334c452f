/** Assignments, which define what instance may load what replica: rows in the table service and rules for moving them. */
package org.hawthornglade.core.assignment;
