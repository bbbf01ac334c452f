package org.hawthornglade.core.pace;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.hawthornglade.core.id.ServiceName;

/** What one entry knows for pacing beyond single servers: which rules are enabled, usual times and sizes of calls. */
public final class Pacing {
    /** Weight of the newest call in the mean size. */
    private static final double NEWEST_WEIGHT = 0.02;

    private final PacingRules rules;
    private final boolean statedServers;
    private final IntSupplier entries;
    private final RandomGenerator random;
    private final UsualTimes usualTimes = new UsualTimes();
    private final Map<ServiceName, Double> meanTokens = new HashMap<>();

    /**
     * Creates the pacing of one entry.
     *
     * @param rules which rules apply to all servers
     * @param entries returns the number of entries
     * @param random differs between entries
     */
    public Pacing(PacingRules rules, IntSupplier entries, RandomGenerator random) {
        this(rules, false, entries, random);
    }

    private Pacing(PacingRules rules, boolean statedServers, IntSupplier entries, RandomGenerator random) {
        this.rules = rules;
        this.statedServers = statedServers;
        this.entries = entries;
        this.random = random;
    }

    /** Returns a pacing that applies only to servers that state their slowdown. */
    public static Pacing onlyStated(RandomGenerator random) {
        return new Pacing(PacingRules.NONE, true, () -> 1, random);
    }

    /** Returns whether the calls in flight at a server are limited by how it responds. */
    public boolean limits(ServerPace server) {
        return rules.concurrencyLimit() || statedBy(server);
    }

    /** Returns whether a server's service rate is used in the choice. */
    public boolean choosesByTime(ServerPace server) {
        return rules.expectedTime() || statedBy(server);
    }

    private boolean statedBy(ServerPace server) {
        return statedServers && server.stated().ever();
    }

    public boolean enginesCrashWhenFull() {
        return rules.sharedMemory();
    }

    /** Returns the number of entries, at least 1. */
    public int entries() {
        return Math.max(1, entries.getAsInt());
    }

    public RandomGenerator random() {
        return random;
    }

    public UsualTimes usualTimes() {
        return usualTimes;
    }

    /** Records the space that a call needs in the KV cache, in tokens. */
    public void onCall(ServiceName service, long kvTokens) {
        meanTokens.merge(service, (double) kvTokens, (old, newest) -> old + NEWEST_WEIGHT * (newest - old));
    }

    /** Returns the mean space of a call in the KV cache, in tokens; 0 if none is known. */
    public double meanTokens(ServiceName service) {
        return meanTokens.getOrDefault(service, 0.0);
    }
}
