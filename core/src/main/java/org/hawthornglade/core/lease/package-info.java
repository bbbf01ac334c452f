/** The lease of the placement leader: which entry holds it and until when it may send orders. */
package org.hawthornglade.core.lease;
