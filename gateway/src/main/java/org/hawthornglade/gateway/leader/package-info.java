/** Placement leader: carries out the decisions of {@code core.replica} and {@code core.lease}. */
package org.hawthornglade.gateway.leader;
