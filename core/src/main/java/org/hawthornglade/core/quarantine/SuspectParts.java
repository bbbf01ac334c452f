package org.hawthornglade.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.PromptPartId;

/**
 * Finds the part of a prompt, or the parts that always come together, that explain a series of crashes.
 *
 * <p>A crash cuts off all calls of its instance, so that each of their parts is a suspect. The part that causes the
 * crashes is in all of them, and no answer is completed on it; the others are cleared by the next completed answer.
 */
final class SuspectParts {
    /** Older crashes are not counted. */
    static final long MAX_AGE_MS = 30_000;
    /** Crashes within this time of each other count once: a cause outside the prompts often hits several instances. */
    static final long MIN_GAP_MS = 250;
    /** The crashes that blame a part on which no answer is known to have been completed. */
    static final int MIN_CRASHES = 3;
    /** The crashes that blame a part on which answers were completed before. */
    static final int MIN_CRASHES_ONCE_COMPLETED = 5;
    /** The time in which other entries report calls of the same crash, and answers completed meanwhile. */
    static final long SETTLE_MS = 150;
    /** The share of the crashes of the most frequent suspect that a part must explain to be blamed. */
    private static final double MIN_EXPLAINED_SHARE = 0.5;
    /** The most suspects; the one that was in no crash for longest is dropped. */
    static final int MAX_SUSPECTS = 1_024;
    /** The most explained crashes that are remembered. */
    private static final int MAX_EXPLAINED = 256;

    /**
     * The parts that explain a series of crashes.
     *
     * @param parts the parts that were in the same crashes, at least one
     * @param fromMs the time of the first crash, in milliseconds
     */
    record Blame(List<PromptPartId> parts, long fromMs) {}

    /** The crashes that a part was in, with their times. */
    private static final class Evidence {
        private final Map<InstanceCrash, Long> crashes = new HashMap<>();
        private boolean onceCompleted;

        int separateCrashes(long upToMs) {
            int count = 0;
            long lastMs = Long.MIN_VALUE / 2;
            for (long atMs : crashes.values().stream()
                    .filter(crashMs -> crashMs <= upToMs)
                    .sorted()
                    .toList()) {
                if (atMs - lastMs >= MIN_GAP_MS) {
                    count++;
                    lastMs = atMs;
                }
            }
            return count;
        }
    }

    /** A suspect with the number of its crashes, and how many of them happened apart from each other. */
    private record Candidate(PromptPartId part, int crashes, int separateCrashes, boolean onceCompleted) {
        /** Of parts that explain most crashes, one on which nothing was completed comes first. */
        private static final Comparator<Candidate> BEST_FIRST = Comparator.comparing(Candidate::onceCompleted)
                .thenComparing(Candidate::crashes, Comparator.reverseOrder());

        boolean blamed(int minCrashes) {
            return separateCrashes >= (onceCompleted ? MIN_CRASHES_ONCE_COMPLETED : minCrashes);
        }
    }

    private final Map<PromptPartId, Evidence> suspects = lastUsedMap(MAX_SUSPECTS);
    private final Map<InstanceCrash, Long> explained = lastUsedMap(MAX_EXPLAINED);

    private static <K, V> Map<K, V> lastUsedMap(int capacity) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > capacity;
            }
        };
    }

    /** Adds a call that was cut off by a crash. */
    void onCrash(CrashReport report) {
        if (explained.containsKey(report.crash())) {
            return;
        }
        for (PromptPartId part : report.parts()) {
            suspects.computeIfAbsent(part, absent -> new Evidence())
                    .crashes
                    .merge(report.crash(), report.atMs(), Math::min);
        }
    }

    /**
     * Clears a part of the crashes before an answer that was completed on it.
     *
     * @return whether the part is no suspect any more
     */
    boolean onCompleted(PromptPartId part, long atMs) {
        Evidence evidence = suspects.get(part);
        if (evidence == null) {
            return false;
        }
        evidence.onceCompleted = true;
        evidence.crashes.values().removeIf(crashMs -> crashMs <= atMs);
        if (!evidence.crashes.isEmpty()) {
            return false;
        }
        suspects.remove(part);
        return true;
    }

    /** Removes a crash whose cause is known from the evidence against all parts. */
    void onExplained(InstanceCrash crash, long atMs) {
        explained.put(crash, atMs);
        suspects.values().forEach(evidence -> evidence.crashes.remove(crash));
        suspects.values().removeIf(evidence -> evidence.crashes.isEmpty());
    }

    /**
     * Returns the parts to blame for the crashes, if there are any, and takes them out of the evidence.
     *
     * @param minCrashes the crashes that blame a part on which no answer is known to have been completed
     */
    Optional<Blame> blame(long nowMs, int minCrashes) {
        expire(nowMs);
        Optional<Blame> blamed = best(nowMs - SETTLE_MS, minCrashes);
        blamed.ifPresent(blame -> new HashMap<>(suspects.get(blame.parts().get(0)).crashes).forEach(this::onExplained));
        return blamed;
    }

    private void expire(long nowMs) {
        suspects.values().forEach(evidence -> evidence.crashes.values().removeIf(atMs -> nowMs - atMs > MAX_AGE_MS));
        suspects.values().removeIf(evidence -> evidence.crashes.isEmpty());
    }

    private Optional<Blame> best(long upToMs, int minCrashes) {
        List<Candidate> candidates = candidates(upToMs);
        int mostCrashes = candidates.stream().mapToInt(Candidate::crashes).max().orElse(0);
        List<Candidate> blamed = candidates.stream()
                .filter(each -> each.blamed(minCrashes) && each.crashes() >= mostCrashes * MIN_EXPLAINED_SHARE)
                .sorted(Candidate.BEST_FIRST)
                .toList();
        if (blamed.isEmpty()) {
            return Optional.empty();
        }
        Candidate best = blamed.get(0);
        Map<InstanceCrash, Long> crashes = suspects.get(best.part()).crashes;
        List<PromptPartId> equal = blamed.stream()
                .filter(each -> Candidate.BEST_FIRST.compare(best, each) == 0)
                .map(Candidate::part)
                .toList();
        List<PromptPartId> together = equal.stream()
                .filter(part -> suspects.get(part).crashes.keySet().equals(crashes.keySet()))
                .toList();
        // Parts that explain other crashes equally well are told apart by the next crash, if there is time for it.
        if (together.size() < equal.size() && best.separateCrashes() < MIN_CRASHES_ONCE_COMPLETED) {
            return Optional.empty();
        }
        return Optional.of(new Blame(together, Collections.min(crashes.values())));
    }

    private List<Candidate> candidates(long upToMs) {
        List<Candidate> candidates = new ArrayList<>();
        suspects.forEach((part, evidence) -> candidates.add(new Candidate(
                part, evidence.crashes.size(), evidence.separateCrashes(upToMs), evidence.onceCompleted)));
        return candidates;
    }

    boolean contains(PromptPartId part) {
        return suspects.containsKey(part);
    }

    Set<PromptPartId> parts() {
        return Collections.unmodifiableSet(suspects.keySet());
    }
}
