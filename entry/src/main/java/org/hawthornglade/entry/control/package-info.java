/** The control connections from an entry to its agents. */
package org.hawthornglade.entry.control;
