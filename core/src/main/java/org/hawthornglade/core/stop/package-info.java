/** Planned stops of an entry: what is open, and which step is due. */
package org.hawthornglade.core.stop;
