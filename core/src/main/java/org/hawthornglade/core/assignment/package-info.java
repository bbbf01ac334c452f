/** Assignments of replicas to instances: the rows in the table service and the rules for moving them. */
package org.hawthornglade.core.assignment;
