package org.hawthornglade.bench.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.dispatch.CallView;

/** Simulates one run: calls arrive, endpoints have their faults, entries restart and pause. */
public final class Emulator {
    private static final long CHECK_MS = 50;
    private static final long DRAIN_MS = 10_000;
    private static final int ENTRY_FAULTS = 3;
    private static final int FIRST_ENTRY_FAULT_MS = 6_000;
    private static final long MIN_DOWN_MS = 1_000;
    private static final int DOWN_SPREAD_MS = 4_000;
    /** The time after a pause in which an entry processes its backlog, in milliseconds. */
    private static final long BACKLOG_MS = 300;

    private final EmulatorOptions options;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final RuleChecker checker = new RuleChecker();
    private final CallCounts counts = new CallCounts();
    private final EmulatedSite site;
    private final EmulatedNetwork network;
    private final List<EmulatedEntry> entries = new ArrayList<>();
    private final EmulatedLeaderHub hub;

    private Emulator(EmulatorOptions options) {
        this.options = options;
        this.random = new Random(options.seed());
        this.site = new EmulatedSite(options, random);
        this.network = new EmulatedNetwork(time, random, checker);
        this.hub = new EmulatedLeaderHub(time, network, random, entries);
        site.endpoints().forEach(network::add);
    }

    /** Simulates a run to its end. */
    public static EmulatorResult run(EmulatorOptions options) {
        return new Emulator(options).simulate();
    }

    private EmulatorResult simulate() {
        for (int i = 0; i < options.entries(); i++) {
            entries.add(startEntry(i));
        }
        hub.start();
        check();
        nextCall();
        if (options.faults()) {
            for (int i = 0; i < ENTRY_FAULTS; i++) {
                long spreadMs = options.seconds() * 1_000L - FIRST_ENTRY_FAULT_MS;
                time.at(FIRST_ENTRY_FAULT_MS + (long) (random.nextDouble() * spreadMs), this::injectEntryFault);
            }
        }
        time.runUntil(options.seconds() * 1_000L + DRAIN_MS);
        return new EmulatorResult(
                checker.limitBreaks(),
                checker.drainBreaks(),
                checker.budgetBreaks(),
                checker.limitUse(),
                counts.calls(),
                counts.served(),
                counts.late(),
                counts.refusals(),
                hub.messages() / (double) options.seconds());
    }

    private EmulatedEntry startEntry(int number) {
        EmulatedEntry entry = new EmulatedEntry(number, time, network, counts, site);
        entry.onPermitRequest(() -> hub.sendRequests(entry));
        return entry;
    }

    private void check() {
        entries.forEach(entry -> entry.run(entry::reconsider));
        time.after(CHECK_MS, this::check);
    }

    private void nextCall() {
        if (time.nowMs() >= options.seconds() * 1_000L) {
            return;
        }
        CallView call = site.call(time.nowMs());
        site.candidates(call).forEach(endpoint -> checker.onDemand(endpoint, time.nowMs()));
        EmulatedEntry entry = entries.get(drawEntry());
        if (!entry.killed()) {
            entry.onCall(call);
        }
        double meanMs = 1_000 / options.callsPerSecond();
        time.after(Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * meanMs)), this::nextCall);
    }

    /** Callers are distributed unevenly: some entries get several times the calls of others. */
    private int drawEntry() {
        return (int) (entries.size() * Math.pow(random.nextDouble(), 1.5));
    }

    /** Restarts or pauses an entry; the first one, which is the first leader, in at least a third of the faults. */
    private void injectEntryFault() {
        int number = random.nextInt(3) == 0 ? 0 : random.nextInt(entries.size());
        long forMs = MIN_DOWN_MS + random.nextInt(DOWN_SPREAD_MS);
        EmulatedEntry entry = entries.get(number);
        if (entry.killed()) {
            return;
        }
        long untilMs = time.nowMs() + forMs;
        if (random.nextBoolean()) {
            checker.exempt(number, new Span(time.nowMs(), untilMs + BACKLOG_MS));
            entry.pause(forMs);
            return;
        }
        checker.exempt(number, new Span(time.nowMs(), untilMs));
        entry.kill();
        time.at(untilMs, () -> entries.set(number, startEntry(number)));
    }
}
