package org.hawthornglade.core.store;

/**
 * A version that the store has given to a transaction, in one era.
 *
 * <p>A restored store gives out the same numbers again, so revisions of different eras are ordered by their eras.
 *
 * @param era the era in which it was given out
 * @param number the version; 0 if there is no such row
 */
public record StoreRevision(StoreEra era, long number) {
    /** Returns whether this revision was given out later than the other one. */
    public boolean isAfter(StoreRevision other) {
        return era.equals(other.era) ? number > other.number : era.isAfter(other.era);
    }
}
