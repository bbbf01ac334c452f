package org.hawthornglade.bench.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.SoftwareVersion;

/** Emulates an engine that crashes when it begins to write an answer on the deadly part. */
final class CrashingEngine {
    private static final int SLOTS = 64;
    private static final int MIN_PREFILL_MS = 30;
    private static final int PREFILL_SPREAD_MS = 300;
    private static final int MIN_WRITE_MS = 100;
    private static final int WRITE_SPREAD_MS = 1_500;
    private static final int MIN_DOWN_MS = 2_500;
    private static final int DOWN_SPREAD_MS = 2_000;

    /** Receives the end of a request. */
    interface Outcome {
        void onEnd(boolean complete);
    }

    private final VirtualTime time;
    private final Random random;
    private final CrashChecker checker;
    private final InstanceId id;
    private List<Outcome> running = new ArrayList<>();
    private long bornMs = 1;
    private boolean up = true;
    private boolean leaving;
    private Runnable changed = () -> {};

    CrashingEngine(int number, VirtualTime time, Random random, CrashChecker checker) {
        this.id = InstanceId.of("e-" + number);
        this.time = time;
        this.random = random;
        this.checker = checker;
    }

    /** Sets the action to run when the engine has started again or announces that it leaves. */
    void onChanged(Runnable action) {
        changed = action;
    }

    InstanceRecord record() {
        return new InstanceRecord(
                id,
                CrashSite.SERVICE,
                SoftwareVersion.of("v1"),
                new InstanceAddress("10.0.0.1", 8_000),
                CrashSite.LOCAL_DOMAIN,
                SLOTS,
                leaving,
                OptionalLong.empty(),
                bornMs,
                leaving ? 2 : 1,
                CrashSite.MODELS,
                Set.of(),
                Set.of());
    }

    /** Returns whether connections are accepted. */
    boolean accepts() {
        return up;
    }

    /** Runs a request; its outcome is reported unless the engine crashes first, which reports all of them. */
    void run(boolean deadly, Outcome outcome) {
        if (deadly) {
            checker.onDeadlyArrival(time.nowMs());
        }
        if (!up) {
            outcome.onEnd(false);
            return;
        }
        List<Outcome> started = running;
        started.add(outcome);
        time.after(MIN_PREFILL_MS + random.nextInt(PREFILL_SPREAD_MS), () -> begin(started, deadly, outcome));
    }

    private void begin(List<Outcome> started, boolean deadly, Outcome outcome) {
        if (!started.contains(outcome)) {
            return;
        }
        if (deadly) {
            checker.onDeadlyCrash(time.nowMs());
            crash();
            return;
        }
        time.after(MIN_WRITE_MS + random.nextInt(WRITE_SPREAD_MS), () -> {
            if (started.remove(outcome)) {
                outcome.onEnd(true);
            }
        });
    }

    /** Ends all requests; the engine is back after some seconds. */
    void crash() {
        if (!up) {
            return;
        }
        up = false;
        breakConnections();
        time.after(MIN_DOWN_MS + random.nextInt(DOWN_SPREAD_MS), () -> {
            up = true;
            bornMs = time.nowMs();
            changed.run();
        });
    }

    /** Ends all requests, while the engine goes on. */
    void breakConnections() {
        List<Outcome> lost = running;
        running = new ArrayList<>();
        List.copyOf(lost).forEach(outcome -> outcome.onEnd(false));
        lost.clear();
    }

    /** Announces that the engine leaves. */
    void leave() {
        leaving = true;
        changed.run();
    }
}
