package org.hawthornglade.core.quarantine;

import java.util.Optional;
import org.hawthornglade.core.id.PromptPartId;

/**
 * A part of a prompt that is in quarantine: calls with it are refused.
 *
 * @param untilMs when one call may try whether the part still crashes its instance, on the steady clock, in milliseconds
 * @param quarantines the number of quarantines of this part in a row, which set their length
 * @param prober the entry that may send this one call; empty if none may now
 */
public record QuarantinedPart(PromptPartId part, long untilMs, int quarantines, Optional<String> prober) {
    /** The length of the first quarantine, in milliseconds; each further one is twice as long. */
    static final long FIRST_DURATION_MS = 120_000;
    /** The longest quarantine, in milliseconds. */
    static final long MAX_DURATION_MS = 3_600_000;

    static QuarantinedPart first(PromptPartId part, long nowMs) {
        return new QuarantinedPart(part, nowMs + FIRST_DURATION_MS, 1, Optional.empty());
    }

    /** Returns the next quarantine, after the part has crashed an instance again. */
    QuarantinedPart next(long nowMs) {
        long durationMs = Math.min(MAX_DURATION_MS, FIRST_DURATION_MS << Math.min(quarantines, 10));
        return new QuarantinedPart(part, nowMs + durationMs, quarantines + 1, Optional.empty());
    }

    /** Returns the same quarantine with an entry that may send one call. */
    QuarantinedPart withProber(String entry) {
        return new QuarantinedPart(part, untilMs, quarantines, Optional.of(entry));
    }

    /** Returns the same quarantine without an entry that may send a call. */
    QuarantinedPart withoutProber() {
        return new QuarantinedPart(part, untilMs, quarantines, Optional.empty());
    }

    /** Returns a quarantine of the first length, after a trial without an outcome. */
    QuarantinedPart again(long nowMs) {
        return new QuarantinedPart(part, nowMs + FIRST_DURATION_MS, quarantines, Optional.empty());
    }
}
