package org.hawthornglade.core.store;

/**
 * The era of the platform's store, which rises whenever the store was restored from an older copy.
 *
 * @param number the number of the era; 0 for a store that names none
 */
public record StoreEra(long number) implements Comparable<StoreEra> {
    /** The era of a store that names none. */
    public static final StoreEra NONE = new StoreEra(0);

    /** Returns whether the store was restored between the other era and this one. */
    public boolean isAfter(StoreEra other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(StoreEra other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
