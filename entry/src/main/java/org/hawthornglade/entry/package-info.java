/** The entry role: the process that connects callers and operators with agents. */
package org.hawthornglade.entry;
