package org.hawthornglade.core.fleet;

/**
 * Orders what is said of one instance: a later start goes before more orders taken.
 *
 * @param bornMs the wall time of the instance's start
 * @param orderSequence how many orders it had accepted since
 */
public record InstanceVersion(long bornMs, long orderSequence) implements Comparable<InstanceVersion> {
    @Override
    public int compareTo(InstanceVersion other) {
        int byStart = Long.compare(bornMs, other.bornMs);
        return byStart != 0 ? byStart : Long.compare(orderSequence, other.orderSequence);
    }
}
