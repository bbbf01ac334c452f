package org.hawthornglade.core.replica;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.id.ModelName;

/** The recent rate of calls for each model, as an average that forgets. */
final class ArrivalRates {
    /** After this time without calls a rate has halved. */
    private static final double HALF_LIFE_MS = 5_000;

    private static final double DECAY_PER_MS = Math.log(2) / HALF_LIFE_MS;
    private static final double MS_PER_S = 1_000;

    private record Rate(double perMs, long atMs) {
        double now(long nowMs) {
            return perMs * Math.exp(-(nowMs - atMs) * DECAY_PER_MS);
        }
    }

    private final Map<ModelName, Rate> rates = new HashMap<>();

    void add(ModelName model, long arrivals, long nowMs) {
        Rate known = rates.getOrDefault(model, new Rate(0, nowMs));
        rates.put(model, new Rate(known.now(nowMs) + arrivals * DECAY_PER_MS, nowMs));
    }

    double perSecond(ModelName model, long nowMs) {
        Rate known = rates.get(model);
        return known == null ? 0 : known.now(nowMs) * MS_PER_S;
    }
}
