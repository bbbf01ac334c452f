package org.hawthornglade.core.overload;

import java.util.Map;
import java.util.TreeMap;

/** Counts the arrived and the started calls of each priority, of which recent ones have the most weight. */
public final class StartShares {
    /** Time in which the weight of a call falls to 1/e: some deadlines of the calls that wait in a burst. */
    private static final double WEIGHT_MS = 20_000;
    /** With less recent weight than this a share says nothing. */
    private static final double MIN_ARRIVED = 5;

    /** Weights are relative to a time that moves on in steps, so that reading them does not change them. */
    private static final double MAX_EXPONENT = 50;

    private static final class Counts {
        private double arrived;
        private double started;
        private long sinceMs;

        private double exponent(long atMs) {
            return (atMs - sinceMs) / WEIGHT_MS;
        }

        void addArrived(long nowMs) {
            moveOn(nowMs);
            arrived += Math.exp(exponent(nowMs));
        }

        void addStarted(long arrivedAtMs) {
            moveOn(arrivedAtMs);
            started += Math.exp(exponent(arrivedAtMs));
        }

        private void moveOn(long nowMs) {
            if (exponent(nowMs) <= MAX_EXPONENT) {
                return;
            }
            double factor = Math.exp(-exponent(nowMs));
            arrived *= factor;
            started *= factor;
            sinceMs = nowMs;
        }

        double recentlyArrived(long nowMs) {
            return arrived * Math.exp(-exponent(nowMs));
        }
    }

    private final Map<Integer, Counts> byPriority = new TreeMap<>();

    private Counts counts(int priority) {
        return byPriority.computeIfAbsent(priority, any -> new Counts());
    }

    /** Records that a call has arrived. */
    public void onArrived(int priority, long nowMs) {
        counts(priority).addArrived(nowMs);
    }

    /**
     * Records that a call is sent for the first time.
     *
     * <p>It has the weight of its arrival: otherwise calls that waited would raise the share of their priority above
     * that of the calls that were really served.
     */
    public void onStarted(int priority, long arrivedAtMs) {
        counts(priority).addStarted(arrivedAtMs);
    }

    /** Returns the weight of the recent arrivals of a priority. */
    double arrived(int priority, long nowMs) {
        return counts(priority).recentlyArrived(nowMs);
    }

    /**
     * Returns whether a smaller share of the arrived calls of one priority than of another was started.
     *
     * @param lead the lead that the first may have, as a part of its arrived calls
     */
    boolean servedLess(int priority, int other, double lead, long nowMs) {
        Counts mine = counts(priority);
        Counts others = counts(other);
        return mine.recentlyArrived(nowMs) >= MIN_ARRIVED
                && others.recentlyArrived(nowMs) >= MIN_ARRIVED
                && mine.started / mine.arrived < others.started / others.arrived + lead;
    }
}
