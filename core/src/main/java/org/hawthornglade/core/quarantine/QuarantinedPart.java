package org.hawthornglade.core.quarantine;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A part of a prompt that is in quarantine: calls with it are refused.
 *
 * <p>Where several parts were in the same crashes, a call is refused if it has all of them. The next answer that is
 * completed on one of them shows that this one is not the cause.
 *
 * @param part the first of the parts that were blamed, which identifies the quarantine
 * @param members the parts that a call must have to be refused
 * @param blamedFromMs the time of the first crash, on the steady clock, in milliseconds
 * @param untilMs when one call may try whether the part still crashes its instance, on the same clock
 * @param quarantines the number of quarantines of this part in a row, which set their length
 * @param prober the entry that may send this one call; empty if none may now
 */
public record QuarantinedPart(
        Suspect part, Set<Suspect> members, long blamedFromMs, long untilMs, int quarantines, Optional<String> prober) {
    /** The length of the first quarantine, in milliseconds; each further one is twice as long. */
    static final long FIRST_DURATION_MS = 120_000;
    /** The longest quarantine, in milliseconds. */
    static final long MAX_DURATION_MS = 3_600_000;
    /** Doublings after which every length exceeds the longest one. */
    private static final int MAX_DOUBLINGS = 10;

    /** Copies the set. */
    public QuarantinedPart {
        members = Set.copyOf(members);
    }

    static QuarantinedPart first(Suspects.Blame blame, long nowMs) {
        return new QuarantinedPart(
                blame.parts().get(0),
                Set.copyOf(blame.parts()),
                blame.fromMs(),
                nowMs + FIRST_DURATION_MS,
                1,
                Optional.empty());
    }

    /** Returns whether a call with these parts is refused. */
    boolean matches(List<Suspect> parts) {
        return parts.containsAll(members);
    }

    /** Returns the next quarantine, after the part has crashed an instance again. */
    QuarantinedPart next(long nowMs) {
        long durationMs = Math.min(MAX_DURATION_MS, FIRST_DURATION_MS << Math.min(quarantines, MAX_DOUBLINGS));
        return new QuarantinedPart(part, members, blamedFromMs, nowMs + durationMs, quarantines + 1, Optional.empty());
    }

    /** Returns the same quarantine with an entry that may send one call. */
    QuarantinedPart withProber(String entry) {
        return new QuarantinedPart(part, members, blamedFromMs, untilMs, quarantines, Optional.of(entry));
    }

    /** Returns the same quarantine without an entry that may send a call. */
    QuarantinedPart withoutProber() {
        return new QuarantinedPart(part, members, blamedFromMs, untilMs, quarantines, Optional.empty());
    }

    /** Returns the same quarantine for fewer parts. */
    QuarantinedPart without(Suspect cleared) {
        Set<Suspect> remaining = new HashSet<>(members);
        remaining.remove(cleared);
        return new QuarantinedPart(part, remaining, blamedFromMs, untilMs, quarantines, prober);
    }

    /** Returns a quarantine of the first length, after a trial without an outcome. */
    QuarantinedPart again(long nowMs) {
        return new QuarantinedPart(
                part, members, blamedFromMs, nowMs + FIRST_DURATION_MS, quarantines, Optional.empty());
    }
}
