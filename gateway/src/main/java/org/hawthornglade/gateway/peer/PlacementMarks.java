package org.hawthornglade.gateway.peer;

/**
 * The serial numbers of the newest changes that a follower was sent.
 *
 * @param placements that of the placements
 * @param loads that of the expected times of loads
 * @param running that of the numbers of running calls
 */
record PlacementMarks(long placements, long loads, long running) {
    /** The marks of a follower that was sent nothing. */
    static final PlacementMarks NONE = new PlacementMarks(0, 0, 0);
}
