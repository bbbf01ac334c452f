/** The entry role: callers and operators on one side, agents on the other. */
package org.hawthornglade.entry;
