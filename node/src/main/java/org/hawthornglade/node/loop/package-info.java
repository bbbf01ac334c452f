/** The threads on which a role makes its decisions and runs its periodic tasks. */
package org.hawthornglade.node.loop;
