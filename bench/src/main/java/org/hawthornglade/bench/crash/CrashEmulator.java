package org.hawthornglade.bench.crash;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.id.InstanceId;

/** Simulates one run: calls arrive, some with the deadly part, and engines have faults of their own. */
public final class CrashEmulator {
    private static final long DRAIN_MS = 10_000;
    /** The time until an entry reads a changed record of an engine, in milliseconds. */
    private static final int MIN_LIST_DELAY_MS = 500;

    private static final int LIST_DELAY_SPREAD_MS = 1_500;
    /** The pause between two faults that no prompt causes, in milliseconds. */
    private static final int FAULT_INTERVAL_MS = 1_500;
    /** The share of engines that such a fault hits at once. */
    private static final int FAULT_SHARE = 8;

    private final CrashOptions options;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final CrashChecker checker;
    private final CrashSite site;
    private final Map<InstanceId, CrashingEngine> engines = new LinkedHashMap<>();
    private final List<CrashEntry> entries = new ArrayList<>();
    private final CrashLeaderHub hub;

    private CrashEmulator(CrashOptions options) {
        this.options = options;
        this.random = new Random(options.seed());
        this.checker = new CrashChecker(options.kind().crashesToReact());
        this.site = new CrashSite(random, options.kind(), options.seed() % 2 == 0);
        for (int i = 0; i < options.engines(); i++) {
            CrashingEngine engine = new CrashingEngine(i, time, random, checker);
            engines.put(engine.record().id(), engine);
            engine.onChanged(() -> publish(engine));
        }
        for (int i = 0; i < options.entries(); i++) {
            entries.add(new CrashEntry(CrashLeaderHub.name(i), time, engines, checker));
        }
        this.hub = new CrashLeaderHub(time, random, entries, options.faults());
    }

    /** Simulates a run to its end. */
    public static CrashResult run(CrashOptions options) {
        return new CrashEmulator(options).simulate();
    }

    private CrashResult simulate() {
        hub.start();
        nextCall();
        if (options.faults()) {
            time.after(FAULT_INTERVAL_MS, this::injectFault);
        }
        time.runUntil(CrashOptions.SECONDS * 1_000L + DRAIN_MS);
        return checker.result(hub.messages() / (double) CrashOptions.SECONDS);
    }

    private void publish(CrashingEngine engine) {
        for (CrashEntry entry : entries) {
            time.after(MIN_LIST_DELAY_MS + random.nextInt(LIST_DELAY_SPREAD_MS), () -> entry.onRecord(engine.record()));
        }
    }

    private boolean arriving() {
        return time.nowMs() < CrashOptions.SECONDS * 1_000L;
    }

    private void nextCall() {
        if (!arriving()) {
            return;
        }
        boolean deadly = time.nowMs() >= CrashOptions.DEADLY_FROM_MS && random.nextDouble() < options.deadlyShare();
        entries.get(random.nextInt(entries.size())).onCall(site.call(deadly, time.nowMs()));
        double meanMs = 1_000 / options.callsPerSecond();
        time.after(Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * meanMs)), this::nextCall);
    }

    /** Some engines crash or lose their connections at the same moment, or one of them leaves. */
    private void injectFault() {
        if (!arriving()) {
            return;
        }
        List<CrashingEngine> hit = new ArrayList<>(engines.values());
        Collections.shuffle(hit, random);
        List<CrashingEngine> some = hit.subList(0, Math.max(1, hit.size() / FAULT_SHARE));
        switch (random.nextInt(5)) {
            case 0, 1 -> some.forEach(CrashingEngine::crash);
            case 2, 3 -> some.forEach(CrashingEngine::breakConnections);
            default -> hit.get(0).leave();
        }
        time.after(FAULT_INTERVAL_MS + random.nextInt(FAULT_INTERVAL_MS), this::injectFault);
    }
}
