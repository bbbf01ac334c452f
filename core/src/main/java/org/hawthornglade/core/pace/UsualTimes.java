package org.hawthornglade.core.pace;

import java.util.HashMap;
import java.util.Map;

/**
 * The usual times of work, learned per kind of work from the responses of all servers.
 *
 * <p>A kind is a service with a model or a route. Responses of many servers are averaged slowly, so that differences
 * between servers remain visible beside it.
 */
public final class UsualTimes {
    /** Least weight of the newest response. */
    private static final double MIN_WEIGHT = 0.02;
    /** The start value counts as this many responses. */
    private static final int START_RESPONSES = 4;
    /** Kinds beyond this number use the start value. */
    private static final int MAX_KINDS = 4_096;

    private static final double MIN_FACTOR = 0.02;
    private static final double MAX_FACTOR = 50;

    private record Learned(double factorLog, int responses) {}

    private final Map<Object, Learned> kinds = new HashMap<>();

    /**
     * Records a response.
     *
     * @param kind the kind of work
     * @param measuredMs how long it took
     * @param startMs how long it takes according to the start value; nothing is recorded unless it is positive
     */
    public void onResponse(Object kind, double measuredMs, double startMs) {
        boolean full = kinds.size() >= MAX_KINDS && !kinds.containsKey(kind);
        if (startMs <= 0 || measuredMs <= 0 || full) {
            return;
        }
        Learned known = kinds.getOrDefault(kind, new Learned(0, START_RESPONSES));
        double sample = Math.log(Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, measuredMs / startMs)));
        double weight = Math.max(MIN_WEIGHT, 1.0 / (known.responses() + 1));
        double factorLog = known.factorLog() + weight * (sample - known.factorLog());
        kinds.put(kind, new Learned(factorLog, Math.min(known.responses() + 1, (int) (1 / MIN_WEIGHT))));
    }

    /** Returns the learned time of a kind of work relative to its start value; 1 if nothing is known. */
    public double factor(Object kind) {
        Learned known = kinds.get(kind);
        return known == null ? 1 : Math.exp(known.factorLog());
    }
}
