/** The connections between entries: each sends its demand to the placement leader and receives the placements. */
package org.hawthornglade.gateway.peer;
