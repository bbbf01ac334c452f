package org.hawthornglade.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Finds the request, the part of a prompt, or the parts that always come together, that explain a series of crashes.
 *
 * <p>A crash cuts off all calls of its instance, so that each of their requests and parts is a suspect. The one that
 * causes the crashes is in all of them, and no answer is completed on it; the others are cleared by the next completed
 * answer. Where a request and parts explain the same crashes, only that request is refused; the crashes count for the
 * parts again once there are further ones without it.
 */
final class Suspects {
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
    /** The crashes beside those of a blamed request that a part must have been in to be blamed itself. */
    static final int MIN_UNEXPLAINED_CRASHES = 2;
    /** The crashes after which other entries report answers that are completed on a request. */
    static final int MIN_CRASHES_TO_WATCH = 2;
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
    record Blame(List<Suspect> parts, long fromMs) {}

    /** When a call was sent to an instance and when its crash cut the call off, in milliseconds. */
    private record Occurrence(long sentAtMs, long atMs) {
        Occurrence merge(Occurrence other) {
            return new Occurrence(Math.max(sentAtMs, other.sentAtMs), Math.min(atMs, other.atMs));
        }
    }

    /** The crashes that a suspect was in. */
    private static final class Evidence {
        private final Map<InstanceCrash, Occurrence> crashes = new HashMap<>();
        private final Set<InstanceCrash> explainedByRequest = new HashSet<>();
        private boolean onceCompleted;

        /**
         * Returns how many crashes happened apart from each other. A request that was sent after a crash shares no
         * other cause with it, unless it is a popular one that is sent all the time.
         */
        int separateCrashes(long upToMs, boolean request) {
            int count = 0;
            long lastMs = Long.MIN_VALUE / 2;
            for (Occurrence each : crashes.values().stream()
                    .filter(occurrence -> occurrence.atMs() <= upToMs)
                    .sorted(Comparator.comparingLong(Occurrence::atMs))
                    .toList()) {
                boolean sentLater = request && !onceCompleted && each.sentAtMs() >= lastMs;
                if (sentLater || each.atMs() - lastMs >= MIN_GAP_MS) {
                    count++;
                    lastMs = each.atMs();
                }
            }
            return count;
        }

        boolean explained() {
            return !explainedByRequest.isEmpty()
                    && crashes.size() - explainedByRequest.size() < MIN_UNEXPLAINED_CRASHES;
        }

        void removeIf(Predicate<Map.Entry<InstanceCrash, Occurrence>> removed) {
            crashes.entrySet().removeIf(removed);
            explainedByRequest.retainAll(crashes.keySet());
        }

        long firstMs() {
            return crashes.values().stream().mapToLong(Occurrence::atMs).min().orElseThrow();
        }
    }

    /** A suspect with the number of its crashes, and how many of them happened apart from each other. */
    private record Candidate(Suspect suspect, int crashes, int separateCrashes, boolean onceCompleted) {
        /** Of parts that explain most crashes, one on which nothing was completed comes first. */
        private static final Comparator<Candidate> BEST_FIRST = Comparator.comparing(Candidate::onceCompleted)
                .thenComparing(Candidate::crashes, Comparator.reverseOrder());

        /** Returns whether a suspect that was never completed explains more crashes than this request. */
        boolean explainedBetterBy(Candidate other) {
            if (!suspect.isRequest() || other.onceCompleted) {
                return false;
            }
            return other.crashes > crashes || (onceCompleted && other.crashes == crashes);
        }

        boolean blamed(int minCrashes) {
            return separateCrashes >= (onceCompleted ? MIN_CRASHES_ONCE_COMPLETED : minCrashes);
        }
    }

    private final Map<Suspect, Evidence> suspects = lastUsedMap(MAX_SUSPECTS);
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
        Occurrence occurrence = new Occurrence(report.sentAtMs(), report.atMs());
        for (Suspect part : report.suspects()) {
            suspects.computeIfAbsent(part, absent -> new Evidence())
                    .crashes
                    .merge(report.crash(), occurrence, Occurrence::merge);
        }
    }

    /**
     * Clears a part of the crashes before an answer that was completed on it.
     *
     * @return whether the part is no suspect any more
     */
    boolean onCompleted(Suspect part, long atMs) {
        Evidence evidence = suspects.get(part);
        if (evidence == null) {
            return false;
        }
        evidence.onceCompleted = true;
        evidence.removeIf(entry -> entry.getValue().atMs() <= atMs);
        if (!evidence.crashes.isEmpty()) {
            return false;
        }
        suspects.remove(part);
        return true;
    }

    /** Removes a crash whose cause is known from the evidence against all parts. */
    void onExplained(InstanceCrash crash, long atMs) {
        explained.put(crash, atMs);
        suspects.values()
                .forEach(evidence -> evidence.removeIf(entry -> entry.getKey().equals(crash)));
        suspects.values().removeIf(evidence -> evidence.crashes.isEmpty());
    }

    /**
     * Returns the parts to blame for the crashes, if there are any, and takes them out of the evidence.
     *
     * @param minCrashes the crashes that blame a suspect on which no answer is known to have been completed
     */
    Optional<Blame> blame(long nowMs, int minCrashes) {
        expire(nowMs);
        Optional<Blame> blamed = best(nowMs - SETTLE_MS, minCrashes);
        blamed.ifPresent(this::explain);
        return blamed;
    }

    private void explain(Blame blame) {
        Suspect first = blame.parts().get(0);
        Map<InstanceCrash, Occurrence> crashes = new HashMap<>(suspects.get(first).crashes);
        if (!first.isRequest()) {
            crashes.forEach((crash, occurrence) -> onExplained(crash, occurrence.atMs()));
            return;
        }
        suspects.remove(first);
        crashes.forEach((crash, occurrence) -> explained.put(crash, occurrence.atMs()));
        suspects.forEach((suspect, evidence) -> explainByRequest(suspect, evidence, crashes.keySet()));
        suspects.values().removeIf(evidence -> evidence.crashes.isEmpty());
    }

    /** Takes the crashes of a blamed request out of the evidence, but leaves a request that was in all of them. */
    private static void explainByRequest(Suspect suspect, Evidence evidence, Set<InstanceCrash> crashes) {
        if (!suspect.isRequest()) {
            crashes.stream().filter(evidence.crashes::containsKey).forEach(evidence.explainedByRequest::add);
        } else if (!evidence.crashes.keySet().equals(crashes)) {
            evidence.removeIf(entry -> crashes.contains(entry.getKey()));
        }
    }

    private void expire(long nowMs) {
        suspects.values()
                .forEach(evidence ->
                        evidence.removeIf(entry -> nowMs - entry.getValue().atMs() > MAX_AGE_MS));
        suspects.values().removeIf(evidence -> evidence.crashes.isEmpty());
    }

    private Optional<Blame> best(long upToMs, int minCrashes) {
        List<Candidate> candidates = candidates(upToMs);
        int mostCrashes = candidates.stream().mapToInt(Candidate::crashes).max().orElse(0);
        List<Candidate> blamed = candidates.stream()
                .filter(each -> each.blamed(minCrashes))
                .filter(each -> each.crashes() >= mostCrashes * MIN_EXPLAINED_SHARE)
                .filter(each -> candidates.stream().noneMatch(each::explainedBetterBy))
                .sorted(Candidate.BEST_FIRST)
                .toList();
        if (blamed.isEmpty()) {
            return Optional.empty();
        }
        Candidate best = blamed.get(0);
        Evidence evidence = suspects.get(best.suspect());
        List<Suspect> equal = blamed.stream()
                .filter(each -> Candidate.BEST_FIRST.compare(best, each) == 0)
                .map(Candidate::suspect)
                .toList();
        List<Suspect> together = equal.stream()
                .filter(part -> suspects.get(part).crashes.keySet().equals(evidence.crashes.keySet()))
                .toList();
        List<Suspect> requests = together.stream().filter(Suspect::isRequest).toList();
        // Suspects that explain other crashes equally well, and requests that were sent at the same times, are told
        // apart by the next crash, if there is time for it.
        boolean toldApart = together.size() == equal.size() && requests.size() <= 1;
        if (!toldApart && best.separateCrashes() < MIN_CRASHES_ONCE_COMPLETED) {
            return Optional.empty();
        }
        List<Suspect> causes = requests.isEmpty() ? together : requests.subList(0, 1);
        return Optional.of(new Blame(causes, evidence.firstMs()));
    }

    private List<Candidate> candidates(long upToMs) {
        List<Candidate> candidates = new ArrayList<>();
        suspects.forEach((suspect, evidence) -> {
            if (!evidence.explained()) {
                int separate = evidence.separateCrashes(upToMs, suspect.isRequest());
                candidates.add(new Candidate(suspect, evidence.crashes.size(), separate, evidence.onceCompleted));
            }
        });
        return candidates;
    }

    boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns the suspects on which other entries shall report completed answers. */
    Set<Suspect> watched() {
        return suspects.entrySet().stream()
                .filter(each ->
                        !each.getKey().isRequest() || each.getValue().crashes.size() >= MIN_CRASHES_TO_WATCH)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    boolean contains(Suspect part) {
        return suspects.containsKey(part);
    }

    Set<Suspect> parts() {
        return Collections.unmodifiableSet(suspects.keySet());
    }
}
