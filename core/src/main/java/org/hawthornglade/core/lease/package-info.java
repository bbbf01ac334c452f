/** The lease of the placement leader: who holds it, and until when orders may be sent. */
package org.hawthornglade.core.lease;
