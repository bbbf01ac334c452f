package org.hawthornglade.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hawthornglade.core.dispatch.CallScreen;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Decision;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.result.ResultCode;

/**
 * Keeps calls with a part of a prompt that crashes instances, and requests that do, from reaching any further instance.
 *
 * <p>Each entry reports the calls that crashes cut off, and answers completed on suspects, to the leader, which blames
 * a part and publishes it to all entries. An entry without a leader decides by what it has seen itself and keeps what
 * it was told. After the time of a quarantine the leader lets one entry send one call: a crash prolongs the quarantine,
 * a completed answer ends it.
 */
public final class PromptQuarantine implements CallScreen {
    /** The shortest time after which a refused caller is told to come back, in milliseconds. */
    static final long MIN_RETRY_AFTER_MS = 10_000;
    /** The time in which the one call of a trial must have an outcome, in milliseconds. */
    static final long TRIAL_MS = 15_000;
    /** A quarantine ends without a trial if no call with its part was refused for this long, in milliseconds. */
    static final long FORGET_MS = 1_800_000;
    /** The most parts in quarantine; the oldest one is dropped. */
    static final int MAX_QUARANTINED = 256;
    /** The most shared parts of one prompt that are suspects. */
    static final int MAX_PARTS_OF_A_PROMPT = 16;
    /** A new leader blames no part for this time, in which the entries report. */
    static final long COLLECTION_MS = 500;
    /** An entry that has lost its leader blames no part for this time, in which there mostly is another one. */
    static final long WITHOUT_LEADER_MS = 5_000;

    /** How an entry takes part in the decisions. */
    public enum Role {
        /** Decides for all entries. */
        LEADING,
        /** Reports to a leader. */
        FOLLOWING,
        /** Decides for itself, on more evidence since it knows only its own calls. */
        WITHOUT_LEADER
    }

    /** Receives what is decided, for the log; ignores it unless overridden. */
    public interface Listener {
        /** Handles the first report of a call that a crash cut off. */
        default void onSuspects(CrashReport report) {}

        /** Handles a suspect on which an answer was completed since its last crash. */
        default void onCleared(Suspect part) {}

        /** Handles the start of a quarantine, or of its next term. */
        default void onQuarantined(QuarantinedPart part) {}

        /** Handles the end of a quarantine. */
        default void onReleased(Suspect part) {}
    }

    private final String entry;
    private final Listener listener;
    private final Suspects suspects = new Suspects();
    private final CompletedSuspects completedSuspects = new CompletedSuspects();
    private final Map<Suspect, QuarantinedPart> quarantined = new LinkedHashMap<>();
    private final Map<Suspect, Long> refusedAtMs = new HashMap<>();
    private final Map<Suspect, Long> trialSinceMs = new HashMap<>();
    private final Set<Suspect> usedTrials = new HashSet<>();
    private final UnreportedEvidence unreported = new UnreportedEvidence();
    private final Map<Suspect, QuarantinedPart> unconfirmed = new LinkedHashMap<>();
    private Set<Suspect> leaderSuspects = Set.of();
    private Role role = Role.WITHOUT_LEADER;
    private long blameFromMs = Long.MAX_VALUE;
    private boolean changed;

    /**
     * Creates an empty quarantine.
     *
     * @param entry the name of this entry
     */
    public PromptQuarantine(String entry, Listener listener) {
        this.entry = entry;
        this.listener = listener;
    }

    private static Stream<Suspect> sharedParts(CallView call) {
        return call.demand().map(ModelDemand::sharedParts).orElse(List.of()).stream()
                .map(PromptPart::id)
                .distinct()
                .limit(MAX_PARTS_OF_A_PROMPT)
                .map(Suspect::of);
    }

    private static List<Suspect> suspectsOf(CallView call) {
        return Stream.concat(sharedParts(call), call.digest().map(Suspect::of).stream())
                .toList();
    }

    private boolean watching() {
        return !suspects.isEmpty() || !leaderSuspects.isEmpty() || !quarantined.isEmpty();
    }

    @Override
    public Optional<Decision.Refuse> screen(CallView call, long nowMs) {
        if (quarantined.isEmpty() || call.trial()) {
            return Optional.empty();
        }
        Optional<QuarantinedPart> found = matching(suspectsOf(call));
        if (found.isEmpty() || startTrial(found.get(), call)) {
            return Optional.empty();
        }
        refusedAtMs.put(found.get().part(), nowMs);
        unreported.onRefused(found.get().part());
        long retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, found.get().untilMs() - nowMs);
        return Optional.of(new Decision.Refuse(ResultCode.PROMPT_QUARANTINED, retryAfterMs));
    }

    private Optional<QuarantinedPart> matching(List<Suspect> parts) {
        for (QuarantinedPart each : quarantined.values()) {
            if (each.matches(parts)) {
                return Optional.of(each);
            }
        }
        return Optional.empty();
    }

    private boolean inQuarantine(Suspect part) {
        return quarantined.values().stream().anyMatch(each -> each.members().contains(part));
    }

    private boolean startTrial(QuarantinedPart part, CallView call) {
        boolean mine = part.prober().equals(Optional.of(entry));
        if (!mine || !usedTrials.add(part.part())) {
            return false;
        }
        call.markTrial();
        return true;
    }

    /** Returns whether a call has a part in quarantine. */
    public boolean quarantined(CallView call) {
        return !quarantined.isEmpty() && matching(suspectsOf(call)).isPresent();
    }

    /** Returns whether a call has a part that crashed an instance, so that it should not be sent to another one. */
    public boolean suspected(CallView call) {
        return watching()
                && suspectsOf(call).stream()
                        .anyMatch(
                                part -> inQuarantine(part) || suspects.contains(part) || leaderSuspects.contains(part));
    }

    /** Handles a call of this entry that a crash has cut off. */
    public void onCrash(InstanceCrash crash, CallView call, long sentAtMs, long cutOffAtMs, long nowMs) {
        List<Suspect> keys = suspectsOf(call);
        if (keys.isEmpty()) {
            return;
        }
        CrashReport report = new CrashReport(crash, sentAtMs, cutOffAtMs, keys);
        unreported.onCrash(report);
        changed = true;
        listener.onSuspects(report);
        apply(report, nowMs);
    }

    private void apply(CrashReport report, long nowMs) {
        Optional<QuarantinedPart> known = matching(report.suspects());
        if (known.isPresent()) {
            suspects.onExplained(report.crash(), report.atMs());
            onQuarantinedCrash(known.get(), nowMs);
            return;
        }
        suspects.onCrash(report);
        for (Suspect part : report.suspects()) {
            completedSuspects.lastCompletedMs(part).ifPresent(atMs -> clear(part, atMs));
        }
        changed = true;
    }

    private void blame(long nowMs) {
        suspects.blame(nowMs, role == Role.LEADING ? Suspects.MIN_CRASHES : Suspects.MIN_CRASHES_ONCE_COMPLETED)
                .ifPresent(blame -> {
                    QuarantinedPart added = QuarantinedPart.first(blame, nowMs);
                    refusedAtMs.put(added.part(), nowMs);
                    set(added);
                    unconfirmed.put(added.part(), added);
                    listener.onQuarantined(added);
                });
    }

    /** A crash during a trial, by whichever call, prolongs the quarantine. */
    private void onQuarantinedCrash(QuarantinedPart part, long nowMs) {
        if (part.prober().isEmpty()) {
            return;
        }
        QuarantinedPart next = part.next(nowMs);
        set(next);
        listener.onQuarantined(next);
    }

    private void set(QuarantinedPart part) {
        quarantined.put(part.part(), part);
        if (quarantined.size() > MAX_QUARANTINED) {
            release(quarantined.keySet().iterator().next());
        }
        trialSinceMs.remove(part.part());
        changed = true;
    }

    private void release(Suspect part) {
        quarantined.remove(part);
        refusedAtMs.remove(part);
        trialSinceMs.remove(part);
        usedTrials.remove(part);
        unconfirmed.remove(part);
        changed = true;
        listener.onReleased(part);
    }

    /** Handles a completed answer to a call of this entry. */
    public void onCompleted(CallView call, long nowMs) {
        for (Suspect part : suspectsOf(call)) {
            completedSuspects.onCompleted(part, nowMs);
            boolean watched = suspects.contains(part) || leaderSuspects.contains(part) || inQuarantine(part);
            if (watched) {
                unreported.onCompleted(part, nowMs);
                changed = true;
                onCompleted(part, nowMs);
            }
        }
    }

    private void onCompleted(Suspect part, long atMs) {
        for (QuarantinedPart each : List.copyOf(quarantined.values())) {
            if (each.members().contains(part) && atMs > each.blamedFromMs()) {
                narrow(each, part);
            }
        }
        clear(part, atMs);
    }

    /** Takes a part out of a quarantine, which ends with its last one. */
    private void narrow(QuarantinedPart from, Suspect cleared) {
        if (from.members().size() == 1) {
            release(from.part());
            return;
        }
        QuarantinedPart narrowed = from.without(cleared);
        quarantined.put(from.part(), narrowed);
        unconfirmed.computeIfPresent(from.part(), (part, known) -> narrowed);
        changed = true;
        listener.onCleared(cleared);
    }

    private void clear(Suspect part, long atMs) {
        if (suspects.onCompleted(part, atMs)) {
            changed = true;
            listener.onCleared(part);
        }
    }

    /** Returns what the leader has not been told yet. */
    public QuarantineReport report() {
        return unreported.take(unconfirmed.values());
    }

    /** Handles the report of an entry, as the leader. */
    public void onReport(String reporter, QuarantineReport report, long nowMs) {
        if (!reporter.equals(entry)) {
            report.quarantined().forEach(part -> {
                if (!quarantined.containsKey(part.part())) {
                    refusedAtMs.put(part.part(), nowMs);
                    set(part.withoutProber());
                }
            });
            report.crashes().forEach(crash -> apply(crash, nowMs));
            report.completedMs().forEach((part, atMs) -> {
                // Remembered, since other entries may report earlier crashes of the part later.
                completedSuspects.onCompleted(part, atMs);
                onCompleted(part, atMs);
            });
        }
        report.refused().forEach(part -> onRefused(reporter, part, nowMs));
    }

    private void onRefused(String reporter, Suspect part, long nowMs) {
        QuarantinedPart found = quarantined.get(part);
        if (found == null) {
            return;
        }
        refusedAtMs.put(part, nowMs);
        if (nowMs >= found.untilMs() && found.prober().isEmpty()) {
            set(found.withProber(reporter));
            trialSinceMs.put(part, nowMs);
            usedTrials.remove(part);
        }
    }

    /** Blames a part if the evidence suffices and this entry decides; must be called regularly. */
    public void check(long nowMs) {
        if (role != Role.FOLLOWING && nowMs >= blameFromMs) {
            blame(nowMs);
        }
        if (role == Role.LEADING) {
            endQuarantines(nowMs);
            unconfirmed.clear();
        }
    }

    /** Ends trials without an outcome and quarantines that no call meets any more. */
    private void endQuarantines(long nowMs) {
        for (QuarantinedPart part : List.copyOf(quarantined.values())) {
            long sinceMs = trialSinceMs.getOrDefault(part.part(), nowMs);
            if (nowMs - sinceMs > TRIAL_MS) {
                set(part.again(nowMs));
            }
            if (nowMs - refusedAtMs.getOrDefault(part.part(), nowMs) > FORGET_MS) {
                release(part.part());
            }
        }
    }

    /** Returns what to publish to all entries, as the leader. */
    public QuarantineUpdate update() {
        return new QuarantineUpdate(suspects.watched(), List.copyOf(quarantined.values()));
    }

    /** Applies an update of the leader. */
    public void onUpdate(QuarantineUpdate update) {
        Map<Suspect, QuarantinedPart> published =
                update.quarantined().stream().collect(Collectors.toMap(QuarantinedPart::part, part -> part));
        unconfirmed.keySet().removeAll(published.keySet());
        for (Suspect part : List.copyOf(quarantined.keySet())) {
            if (!published.containsKey(part) && !unconfirmed.containsKey(part)) {
                release(part);
            }
        }
        published.values().forEach(this::onPublished);
        for (Suspect part : update.suspects()) {
            if (!leaderSuspects.contains(part)) {
                reportLastCompletion(part);
            }
        }
        leaderSuspects = update.suspects();
        changed = unreported.hasCompleted();
    }

    private void reportLastCompletion(Suspect part) {
        completedSuspects.lastCompletedMs(part).ifPresent(atMs -> unreported.onCompleted(part, atMs));
    }

    private void onPublished(QuarantinedPart part) {
        QuarantinedPart known = quarantined.put(part.part(), part);
        if (known == null) {
            listener.onQuarantined(part);
        }
        if (part.prober().isEmpty()) {
            usedTrials.remove(part.part());
        }
    }

    /**
     * Sets how this entry takes part; must be called on each change of the leader, and of the connection to it.
     *
     * <p>A new leader is told all that this entry knows.
     */
    public void onRole(Role current, long nowMs) {
        role = current;
        blameFromMs = nowMs + (role == Role.LEADING ? COLLECTION_MS : WITHOUT_LEADER_MS);
        leaderSuspects = Set.of();
        unreported.repeatCrashes().forEach(report -> report.suspects().forEach(this::reportLastCompletion));
        quarantined.replaceAll((part, found) -> found.withoutProber());
        unconfirmed.putAll(quarantined);
        changed = true;
    }

    /** Returns whether there is something to report or to publish since the last call of this method. */
    public boolean pollChanged() {
        boolean wasChanged = changed;
        changed = false;
        return wasChanged;
    }

    /** Returns the number of parts in quarantine. */
    public int size() {
        return quarantined.size();
    }
}
