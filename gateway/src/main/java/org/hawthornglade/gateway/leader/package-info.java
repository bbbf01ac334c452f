/** The placement leader's shell: carries the decisions of {@code core.replica} and {@code core.lease} out. */
package org.hawthornglade.gateway.leader;
