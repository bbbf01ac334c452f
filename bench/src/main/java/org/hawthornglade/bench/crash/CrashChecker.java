package org.hawthornglade.bench.crash;

import java.util.ArrayList;
import java.util.List;

/** Checks from what engines received whether entries stopped sending deadly calls and kept serving sound ones. */
final class CrashChecker {
    /** The time in which entries have to react, in milliseconds. */
    private static final long STABLE_MS = 3_000;

    private record Outcome(long atMs, boolean served) {}

    private final List<Long> crashesMs = new ArrayList<>();
    private final List<Long> arrivalsMs = new ArrayList<>();
    private final List<Outcome> soundOutcomes = new ArrayList<>();
    private final int crashesToReact;
    private int soundRefusals;

    /**
     * Creates a checker.
     *
     * @param crashesToReact the number of crashes after which the time to react begins
     */
    CrashChecker(int crashesToReact) {
        this.crashesToReact = crashesToReact;
    }

    void onDeadlyCrash(long nowMs) {
        crashesMs.add(nowMs);
    }

    /** Records that a deadly request has reached an engine. */
    void onDeadlyArrival(long nowMs) {
        arrivalsMs.add(nowMs);
    }

    /** Records the end of a sound call by the time at which it arrived at its entry. */
    void onSoundOutcome(long arrivedAtMs, boolean served) {
        soundOutcomes.add(new Outcome(arrivedAtMs, served));
    }

    /** Records that a sound call was refused by the quarantine. */
    void onSoundRefusal() {
        soundRefusals++;
    }

    CrashResult result(double messagesPerSecond) {
        long knownMs = crashesMs.size() < crashesToReact ? Long.MAX_VALUE / 2 : crashesMs.get(crashesToReact - 1);
        long lastCrashMs = crashesMs.isEmpty() ? CrashOptions.DEADLY_FROM_MS : crashesMs.get(crashesMs.size() - 1);
        long settledMs = Math.min(knownMs, lastCrashMs) + 2 * STABLE_MS;
        long lastArrivalMs = arrivalsMs.isEmpty() ? 0 : arrivalsMs.get(arrivalsMs.size() - 1);
        return new CrashResult(
                crashesMs.size(),
                (int) arrivalsMs.stream()
                        .filter(atMs -> atMs > knownMs + STABLE_MS)
                        .count(),
                Math.max(0, lastArrivalMs - knownMs),
                servedShare(0, CrashOptions.DEADLY_FROM_MS),
                servedShare(settledMs, Long.MAX_VALUE),
                soundRefusals,
                messagesPerSecond);
    }

    private double servedShare(long fromMs, long toMs) {
        List<Outcome> outcomes = soundOutcomes.stream()
                .filter(outcome -> outcome.atMs() >= fromMs && outcome.atMs() < toMs)
                .toList();
        return outcomes.isEmpty()
                ? 1
                : outcomes.stream().filter(Outcome::served).count() / (double) outcomes.size();
    }
}
