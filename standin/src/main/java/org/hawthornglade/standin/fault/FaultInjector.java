package org.hawthornglade.standin.fault;

import java.util.SplittableRandom;
import org.hawthornglade.standin.fault.FaultDecision.Kind;

/** Decides which fault applies to each call of one stand-in; the same calls under a script get the same faults. */
public final class FaultInjector {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final long RETRY_AFTER_MS = 1_000;

    private FaultScript script;
    private SplittableRandom random;
    private long calls;
    private long changes;
    private long loads;
    private long streams;

    /** Creates an injector with a script; null for no faults. */
    public FaultInjector(FaultScript script) {
        set(script);
    }

    /** Replaces the script and resets all counters. */
    public synchronized void set(FaultScript next) {
        script = next == null ? FaultScript.NONE : next;
        random = new SplittableRandom(script.seed());
        calls = 0;
        changes = 0;
        loads = 0;
        streams = 0;
    }

    /** Returns the current script. */
    public synchronized FaultScript script() {
        return script;
    }

    /**
     * Decides which fault applies to the next call.
     *
     * @param change whether the call may change something
     */
    public synchronized FaultDecision next(boolean change) {
        calls++;
        if (change) {
            changes++;
        }
        long delayMs = script.slowMs() + (script.slowJitterMs() == 0 ? 0 : random.nextLong(script.slowJitterMs() + 1));
        if (script.freeze()) {
            return new FaultDecision(Kind.FREEZE, delayMs, 0, 0);
        }
        if (script.down()) {
            return new FaultDecision(Kind.REFUSE, delayMs, script.failStatus(), RETRY_AFTER_MS);
        }
        if (script.rateLimitMs() > 0) {
            return new FaultDecision(Kind.REFUSE, delayMs, TOO_MANY_REQUESTS, script.rateLimitMs());
        }
        if (everyNth(calls, script.failEvery())) {
            return new FaultDecision(Kind.REFUSE, delayMs, script.failStatus(), RETRY_AFTER_MS);
        }
        if (change && everyNth(changes, script.loseReplyEvery())) {
            return new FaultDecision(Kind.LOSE_REPLY, delayMs, 0, 0);
        }
        return new FaultDecision(Kind.PASS, delayMs, 0, 0);
    }

    /** Decides whether the next load of an engine fails part-way. */
    public synchronized boolean nextLoadCrashes() {
        loads++;
        return everyNth(loads, script.crashLoadEvery());
    }

    /** Decides whether the next streaming connection of an engine is closed part-way. */
    public synchronized boolean nextStreamIsCut() {
        streams++;
        return everyNth(streams, script.cutStreamEvery());
    }

    private static boolean everyNth(long count, int every) {
        return every > 0 && count % every == 0;
    }
}
