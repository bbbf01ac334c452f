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

    private final boolean adaptive;
    private final boolean statedServers;
    private final boolean enginesCrashWhenFull;
    private final IntSupplier entries;
    private final RandomGenerator random;
    private final UsualTimes usualTimes = new UsualTimes();
    private final Map<ServiceName, Double> meanTokens = new HashMap<>();

    /**
     * Creates the pacing of one entry.
     *
     * @param adaptive whether servers are paced
     * @param enginesCrashWhenFull whether an engine crashes if its requests need more memory than it has
     * @param entries returns the number of entries
     * @param random differs between entries
     */
    public Pacing(boolean adaptive, boolean enginesCrashWhenFull, IntSupplier entries, RandomGenerator random) {
        this(adaptive, false, enginesCrashWhenFull, entries, random);
    }

    private Pacing(
            boolean adaptive,
            boolean statedServers,
            boolean enginesCrashWhenFull,
            IntSupplier entries,
            RandomGenerator random) {
        this.adaptive = adaptive;
        this.statedServers = statedServers;
        this.enginesCrashWhenFull = enginesCrashWhenFull;
        this.entries = entries;
        this.random = random;
    }

    /** Returns a pacing that applies only to servers that state their slowdown. */
    public static Pacing onlyStated(RandomGenerator random) {
        return new Pacing(false, true, false, () -> 1, random);
    }

    /** Returns whether a server's service rate and concurrency limit are used. */
    public boolean appliesTo(ServerPace server) {
        return adaptive || (statedServers && server.stated().ever());
    }

    public boolean enginesCrashWhenFull() {
        return enginesCrashWhenFull;
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
