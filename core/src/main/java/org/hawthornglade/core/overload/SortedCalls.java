package org.hawthornglade.core.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Calls in the order of a time, with the number of calls before any time.
 *
 * <p>They are kept in an array: moving some thousand references takes less time than finding a place in a tree.
 *
 * @param <C> the type of calls
 */
final class SortedCalls<C> {
    record Item<C>(Urgency urgency, C call) {}

    private final ToLongFunction<Urgency> timeMs;
    private final List<Item<C>> items = new ArrayList<>();

    /** Creates an empty list that is sorted by a time of its calls, then by their numbers. */
    SortedCalls(ToLongFunction<Urgency> timeMs) {
        this.timeMs = timeMs;
    }

    /** Returns how many calls are before a call with this time and number. */
    int countBefore(long atMs, long number) {
        int low = 0;
        int high = items.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (isBefore(items.get(middle).urgency(), atMs, number)) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private boolean isBefore(Urgency urgency, long atMs, long number) {
        long itsMs = timeMs.applyAsLong(urgency);
        return itsMs < atMs || (itsMs == atMs && urgency.number() < number);
    }

    private int place(Urgency urgency) {
        return countBefore(timeMs.applyAsLong(urgency), urgency.number());
    }

    void add(Item<C> item) {
        items.add(place(item.urgency()), item);
    }

    /** Removes a call and returns whether it was there. */
    boolean remove(Urgency urgency) {
        int place = place(urgency);
        if (place == items.size() || !items.get(place).urgency().equals(urgency)) {
            return false;
        }
        items.remove(place);
        return true;
    }

    /** Removes and returns the calls whose time is before {@code endMs}. */
    List<Item<C>> removeBefore(long endMs) {
        List<Item<C>> before = items.subList(0, countBefore(endMs, Long.MIN_VALUE));
        List<Item<C>> removed = List.copyOf(before);
        before.clear();
        return removed;
    }

    /** Returns whether a call's time is before {@code endMs}. */
    boolean anyBefore(long endMs) {
        return !items.isEmpty() && timeMs.applyAsLong(items.get(0).urgency()) < endMs;
    }

    Item<C> get(int index) {
        return items.get(index);
    }

    int size() {
        return items.size();
    }
}
