package org.hawthornglade.core.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The order of the calls that wait for a service, and the number of calls before each of them.
 *
 * <p>Within a priority the call with the earliest latest start goes first: that for its latency target, or that for its
 * deadline once the target is out of reach. A higher priority goes first, except before a call of a lower priority that
 * has to start sooner, while all waiting calls of higher priority still start in time after it or while its priority
 * has been served less. Calls whose callers came back too early go after all others.
 *
 * @param <C> the type of calls
 */
public final class WaitingOrder<C> {
    /**
     * Part of the arrived calls by which a lower priority may be served more than a higher one for the sake of its
     * deadlines; below the 5 in 100 that are allowed, as shares change while calls wait.
     */
    private static final double LATE_LEAD = 0.03;

    private static final class Level<C> {
        private final SortedCalls<C> onTarget = new SortedCalls<>(Urgency::targetStartMs);
        private final SortedCalls<C> late = new SortedCalls<>(Urgency::deadlineStartMs);

        void add(SortedCalls.Item<C> item, long nowMs) {
            (item.urgency().meetsTarget(nowMs) ? onTarget : late).add(item);
        }

        void remove(Urgency urgency) {
            if (!onTarget.remove(urgency)) {
                late.remove(urgency);
            }
        }

        void advance(long nowMs) {
            if (onTarget.anyBefore(nowMs)) {
                onTarget.removeBefore(nowMs).forEach(late::add);
            }
        }

        int countBefore(long latestStartMs, long number) {
            return onTarget.countBefore(latestStartMs, number) + late.countBefore(latestStartMs, number);
        }

        int size() {
            return onTarget.size() + late.size();
        }
    }

    private final NavigableMap<Integer, Level<C>> levels = new TreeMap<>();
    private final SortedCalls<C> yielding = new SortedCalls<>(Urgency::yieldsUntilMs);

    private Level<C> level(int priority) {
        return levels.computeIfAbsent(priority, any -> new Level<>());
    }

    /** Adds a call; its urgency must not be that of another one. */
    public void add(Urgency urgency, C call, long nowMs) {
        SortedCalls.Item<C> item = new SortedCalls.Item<>(urgency, call);
        if (urgency.yields(nowMs)) {
            yielding.add(item);
        } else {
            level(urgency.priority()).add(item, nowMs);
        }
    }

    /** Removes a call, if it is there. */
    public void remove(Urgency urgency) {
        if (yielding.remove(urgency)) {
            return;
        }
        Level<C> level = levels.get(urgency.priority());
        if (level == null) {
            return;
        }
        level.remove(urgency);
        if (level.size() == 0) {
            levels.remove(urgency.priority());
        }
    }

    /** Returns whether no call waits. */
    public boolean isEmpty() {
        return levels.isEmpty() && yielding.size() == 0;
    }

    /** Applies the passing of time to the calls whose targets are out of reach or that need not yield any more. */
    private void advance(long nowMs) {
        if (yielding.anyBefore(nowMs + 1)) {
            for (SortedCalls.Item<C> item : yielding.removeBefore(nowMs + 1)) {
                level(item.urgency().priority()).add(item, nowMs);
            }
        }
        levels.values().forEach(level -> level.advance(nowMs));
    }

    /**
     * Returns how many of these calls are expected to start before another one.
     *
     * <p>Calls of other priorities count at most in proportion to their recent arrivals, as no priority is served much
     * more often than another.
     */
    public int ahead(Urgency call, StartShares shares, long nowMs) {
        advance(nowMs);
        if (call.yields(nowMs)) {
            int others = levels.values().stream().mapToInt(Level::size).sum();
            return others + yielding.countBefore(call.yieldsUntilMs(), call.number());
        }
        long latestStartMs = call.latestStartMs(nowMs);
        Level<C> own = levels.get(call.priority());
        int ownAhead = own == null ? 0 : own.countBefore(latestStartMs, call.number());
        double ownArrived = shares.arrived(call.priority(), nowMs);
        int ahead = ownAhead;
        for (var entry : levels.entrySet()) {
            int priority = entry.getKey();
            if (priority == call.priority()) {
                continue;
            }
            boolean higher = priority < call.priority();
            Level<C> level = entry.getValue();
            int onTarget = higher ? level.onTarget.size() : level.onTarget.countBefore(latestStartMs, call.number());
            int before = onTarget + level.late.countBefore(latestStartMs, call.number());
            double most =
                    ownArrived > 0 ? (ownAhead + 1) * shares.arrived(priority, nowMs) / ownArrived : Double.MAX_VALUE;
            ahead += (int) Math.min(before, most);
        }
        return ahead;
    }

    /**
     * Returns the calls in the order in which they are decided.
     *
     * @param startsPerMs the rate at which calls are expected to start, 0 if unknown
     */
    public List<C> order(double startsPerMs, StartShares shares, long nowMs) {
        advance(nowMs);
        List<C> ordered = new ArrayList<>();
        List<Cursor<C>> cursors = cursors(startsPerMs, shares, nowMs);
        while (!cursors.isEmpty()) {
            int chosen = choose(cursors, nowMs);
            for (Cursor<C> passed : cursors.subList(0, chosen)) {
                passed.startsToSpare--;
            }
            ordered.add(cursors.get(chosen).next().call());
            if (!cursors.get(chosen).hasNext()) {
                cursors.remove(chosen);
            }
        }
        for (int i = 0; i < yielding.size(); i++) {
            ordered.add(yielding.get(i).call());
        }
        return ordered;
    }

    private List<Cursor<C>> cursors(double startsPerMs, StartShares shares, long nowMs) {
        List<Cursor<C>> cursors = new ArrayList<>();
        int higher = 0;
        for (var entry : levels.entrySet()) {
            Level<C> level = entry.getValue();
            Cursor<C> cursor = new Cursor<>(entry.getKey(), level, startsToSpare(level, higher, startsPerMs, nowMs));
            cursor.compare(cursors, shares, nowMs);
            cursors.add(cursor);
            higher += level.onTarget.size();
        }
        return cursors;
    }

    /**
     * Returns how many other calls may start before those of a priority that can still meet their targets, without
     * making any of these miss it.
     */
    private static <C> double startsToSpare(Level<C> level, int higher, double startsPerMs, long nowMs) {
        double spare = Double.MAX_VALUE;
        for (int i = 0; i < level.onTarget.size(); i++) {
            long leftMs = level.onTarget.get(i).urgency().targetStartMs() - nowMs;
            spare = Math.min(spare, leftMs * startsPerMs - (higher + i + 1));
        }
        return spare;
    }

    /** Returns the index of the priority whose first call is next. */
    private static <C> int choose(List<Cursor<C>> cursors, long nowMs) {
        int chosen = 0;
        for (int lower = 1; lower < cursors.size(); lower++) {
            long latestStartMs = cursors.get(lower).peek().urgency().latestStartMs(nowMs);
            boolean sooner =
                    latestStartMs < cursors.get(chosen).peek().urgency().latestStartMs(nowMs);
            if (sooner && mayPass(cursors, lower, nowMs)) {
                chosen = lower;
            }
        }
        return chosen;
    }

    private static <C> boolean mayPass(List<Cursor<C>> cursors, int lower, long nowMs) {
        Cursor<C> passing = cursors.get(lower);
        boolean onTarget = passing.peek().urgency().meetsTarget(nowMs);
        List<Integer> servedMore = onTarget ? passing.servedMore : passing.servedMoreThanLate;
        for (int i = 0; i < lower; i++) {
            if (cursors.get(i).startsToSpare < 1 && !servedMore.contains(cursors.get(i).priority)) {
                return false;
            }
        }
        return true;
    }

    /** Passes through the calls of one priority in their order. */
    private static final class Cursor<C> {
        private final int priority;
        private final Level<C> level;
        /** The higher priorities that have been served more than this one, before its calls on target or late. */
        private final List<Integer> servedMore = new ArrayList<>();

        private final List<Integer> servedMoreThanLate = new ArrayList<>();
        private double startsToSpare;
        private int onTarget;
        private int late;

        Cursor(int priority, Level<C> level, double startsToSpare) {
            this.priority = priority;
            this.level = level;
            this.startsToSpare = startsToSpare;
        }

        /** Compares the shares once, as they do not change while the calls are put in order. */
        void compare(List<Cursor<C>> higher, StartShares shares, long nowMs) {
            for (Cursor<C> other : higher) {
                if (shares.servedLess(priority, other.priority, 0, nowMs)) {
                    servedMore.add(other.priority);
                }
                // A late call loses all of its value after its deadline, those that it passes only part of theirs.
                if (shares.servedLess(priority, other.priority, LATE_LEAD, nowMs)) {
                    servedMoreThanLate.add(other.priority);
                }
            }
        }

        boolean hasNext() {
            return onTarget < level.onTarget.size() || late < level.late.size();
        }

        private boolean lateIsFirst() {
            if (late == level.late.size() || onTarget == level.onTarget.size()) {
                return late < level.late.size();
            }
            Urgency lateFirst = level.late.get(late).urgency();
            Urgency first = level.onTarget.get(onTarget).urgency();
            boolean same = lateFirst.deadlineStartMs() == first.targetStartMs();
            return same ? lateFirst.number() < first.number() : lateFirst.deadlineStartMs() < first.targetStartMs();
        }

        SortedCalls.Item<C> peek() {
            return lateIsFirst() ? level.late.get(late) : level.onTarget.get(onTarget);
        }

        SortedCalls.Item<C> next() {
            return lateIsFirst() ? level.late.get(late++) : level.onTarget.get(onTarget++);
        }
    }
}
