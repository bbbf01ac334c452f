package org.hawthornglade.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Three entries that share a lease in virtual time, a store, and seeded disruptions of both. */
final class SimulatedLeases {
    static final long LEASE_MS = 3_000;
    private static final long TICK_MS = 10;
    /** Orders within this time after the thaw of their sender do not count. */
    private static final long THAW_MS = 300;
    /** Two holders that take turns within this time lead at once. */
    private static final long TURNS_MS = 3_000;

    /** What can happen to an entry or to the store. */
    enum Disruption {
        RESTART_AT_ONCE,
        RESTART_LATER,
        PLANNED_STOP,
        FREEZE,
        STORE_LOST_FOR_ONE,
        STORE_SLOW,
        RESPONSES_LOST,
        CONNECTIONS_REFUSED,
        STORE_RESTORED
    }

    private record Event(long atMs, long number, Runnable action) {}

    final boolean enginesCheckTokens;
    final RestorableLeaseStore store = new RestorableLeaseStore();
    final List<SimulatedEntry> entries = new ArrayList<>();
    long nowMs;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> one.atMs() == other.atMs()
            ? Long.compare(one.number(), other.number())
            : Long.compare(one.atMs(), other.atMs()));
    private long eventCount;
    private long storeSlowUntilMs;
    private long responsesLostUntilMs;
    private final Map<String, Long> orderedAtMs = new HashMap<>();
    private final Map<Long, String> holders = new HashMap<>();
    private String lastHolder = "";
    private long highestToken;
    private Optional<String> fault = Optional.empty();

    SimulatedLeases(long seed, boolean enginesCheckTokens) {
        this.random = new Random(seed);
        this.enginesCheckTokens = enginesCheckTokens;
        for (int i = 1; i <= 3; i++) {
            entries.add(new SimulatedEntry(this, "entry-" + i, "10.0.0." + i + ":7000", TICK_MS * i));
        }
    }

    SimulatedEntry entryAt(String address) {
        return entries.stream()
                .filter(entry -> entry.address.equals(address))
                .findFirst()
                .orElseThrow();
    }

    void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, eventCount++, action));
    }

    long storeDelayMs() {
        return nowMs < storeSlowUntilMs ? random.nextInt(700) : random.nextInt(10);
    }

    long linkDelayMs() {
        return 1L + random.nextInt(10);
    }

    boolean responseLost() {
        return nowMs < responsesLostUntilMs && random.nextBoolean();
    }

    /** Returns the first fault, if any. */
    Optional<String> fault() {
        return fault;
    }

    /** Returns how many leases have been used for orders. */
    int leasesUsed() {
        return holders.size();
    }

    Optional<SimulatedEntry> leader() {
        return entries.stream().filter(SimulatedEntry::mayOrder).findFirst();
    }

    /** Disrupts the entries and the store again and again. */
    void runWith(Set<Disruption> disruptions, long forMs) {
        List<Disruption> choice = List.copyOf(disruptions);
        long untilMs = nowMs + forMs;
        while (nowMs < untilMs && fault.isEmpty()) {
            disrupt(choice.get(random.nextInt(choice.size())));
            run(200L + random.nextInt(3_000));
        }
    }

    /** Runs until a time has passed or a fault is found. */
    void run(long forMs) {
        for (long untilMs = nowMs + forMs; nowMs < untilMs && fault.isEmpty(); nowMs += TICK_MS) {
            while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
                events.remove().action().run();
            }
            entries.forEach(SimulatedEntry::run);
            entries.forEach(this::order);
        }
    }

    /** Returns how long it takes until any entry may order, at most a limit. */
    long timeToOrderMs(long limitMs) {
        long sinceMs = nowMs;
        while (nowMs - sinceMs <= limitMs && leader().isEmpty()) {
            run(TICK_MS);
        }
        return nowMs - sinceMs;
    }

    private void disrupt(Disruption disruption) {
        // Most disruptions concern the leader.
        SimulatedEntry any = entries.get(random.nextInt(entries.size()));
        SimulatedEntry entry = random.nextInt(4) > 0 ? leader().orElse(any) : any;
        long forMs = 500L + random.nextInt(6_000);
        switch (disruption) {
            case RESTART_AT_ONCE -> restart(entry, 50);
            case RESTART_LATER -> restart(entry, forMs);
            case PLANNED_STOP -> {
                entry.stop();
                after(TURNS_MS, () -> restart(entry, 50));
            }
            case FREEZE -> {
                if (!entry.frozen()) {
                    entry.freeze(forMs, random.nextBoolean());
                }
            }
            case STORE_LOST_FOR_ONE -> entry.storeLostUntilMs = nowMs + forMs;
            case STORE_SLOW -> storeSlowUntilMs = nowMs + forMs;
            case RESPONSES_LOST -> responsesLostUntilMs = nowMs + forMs;
            case CONNECTIONS_REFUSED -> entry.refusingUntilMs = nowMs + forMs;
            case STORE_RESTORED -> store.restore(1 + random.nextInt(2));
        }
    }

    private void restart(SimulatedEntry entry, long afterMs) {
        if (!entry.running()) {
            return;
        }
        entry.kill();
        after(afterMs, entry::start);
    }

    private void order(SimulatedEntry entry) {
        if (!entry.mayOrder()) {
            return;
        }
        long token = entry.token().value();
        if (!holders.computeIfAbsent(token, absent -> entry.name).equals(entry.name)) {
            fail(entry, "has the token of " + holders.get(token));
        }
        if (enginesCheckTokens && token < highestToken) {
            entry.onOrderRefused();
            return;
        }
        boolean justThawed = entry.thawedAtMs.isPresent() && nowMs - entry.thawedAtMs.getAsLong() <= THAW_MS;
        if (justThawed) {
            return;
        }
        if (token < highestToken) {
            fail(entry, "orders with an older token than " + lastHolder);
        }
        boolean turns = !lastHolder.equals(entry.name)
                && nowMs - orderedAtMs.getOrDefault(entry.name, Long.MIN_VALUE / 2) <= TURNS_MS;
        if (turns && !enginesCheckTokens) {
            fail(entry, "takes turns with " + lastHolder);
        }
        highestToken = Math.max(highestToken, token);
        lastHolder = entry.name;
        orderedAtMs.put(entry.name, nowMs);
    }

    private void fail(SimulatedEntry entry, String what) {
        fault = fault.or(() -> Optional.of(entry.name + " " + what + " at " + nowMs + " ms"));
    }
}
