package org.hawthornglade.bench.emulator;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.limit.PermitRequests;

/** Exchanges permit requests and limit updates between entries and their leader; replaces a killed or paused leader. */
final class EmulatedLeaderHub {
    private static final long CHECK_MS = 50;
    private static final long REQUEST_INTERVAL_MS = 250;
    /** The shortest time without a leader after the leader was killed or paused, in milliseconds. */
    private static final int MIN_ELECTION_MS = 300;

    private static final int ELECTION_SPREAD_MS = 2_500;

    private final VirtualTime time;
    private final EmulatedNetwork network;
    private final Random random;
    private final List<EmulatedEntry> entries;
    private EmulatedEntry leader;
    private boolean electing;
    private long messages;

    EmulatedLeaderHub(VirtualTime time, EmulatedNetwork network, Random random, List<EmulatedEntry> entries) {
        this.time = time;
        this.network = network;
        this.random = random;
        this.entries = entries;
    }

    void start() {
        setLeader(entries.get(0));
        check();
        scheduleRequests();
    }

    private void setLeader(EmulatedEntry entry) {
        leader = entry;
        leader.permitAllocator().reset();
        entries.forEach(other -> other.permitClient().onLeaderLost());
    }

    /** The lease of a paused leader expires, as that of a killed one; the next leader starts without state. */
    private void check() {
        boolean lost = leader.killed() || leader.paused();
        if (lost && !electing) {
            electing = true;
            time.after(MIN_ELECTION_MS + random.nextInt(ELECTION_SPREAD_MS), this::elect);
        }
        if (!lost && !electing) {
            EmulatedEntry current = leader;
            sendUpdates(current, current.permitAllocator().check(true, time.nowMs()));
        }
        time.after(CHECK_MS, this::check);
    }

    private void elect() {
        electing = false;
        entries.stream()
                .filter(entry -> !entry.killed() && !entry.paused())
                .findFirst()
                .ifPresent(this::setLeader);
    }

    /** Sends the requests of all entries, spread over the request interval; waiting calls send theirs at once. */
    private void scheduleRequests() {
        for (EmulatedEntry entry : List.copyOf(entries)) {
            time.after(random.nextInt((int) REQUEST_INTERVAL_MS), () -> entry.run(() -> sendRequests(entry)));
        }
        time.after(REQUEST_INTERVAL_MS, this::scheduleRequests);
    }

    void sendRequests(EmulatedEntry entry) {
        EmulatedEntry to = leader;
        PermitRequests requests = entry.permitClient().requests(time.nowMs());
        messages++;
        time.after(network.delayMs(), () -> to.run(() -> onRequests(to, entry, requests)));
    }

    private void onRequests(EmulatedEntry to, EmulatedEntry from, PermitRequests requests) {
        if (to == leader && !electing) {
            sendUpdates(to, to.permitAllocator().onRequests(name(from), requests, true, time.nowMs()));
        }
    }

    private void sendUpdates(EmulatedEntry from, Set<String> entryNames) {
        for (EmulatedEntry entry : entries) {
            if (entryNames.contains(name(entry))) {
                messages++;
                LimitUpdate update = from.permitAllocator().update(name(entry), time.nowMs());
                time.after(network.delayMs(), () -> entry.run(() -> onUpdate(from, entry, update)));
            }
        }
    }

    private void onUpdate(EmulatedEntry from, EmulatedEntry entry, LimitUpdate update) {
        if (from == leader) {
            entry.permitClient().onUpdate(update, time.nowMs());
            entry.reconsider();
        }
    }

    private static String name(EmulatedEntry entry) {
        return "entry-" + entry.number();
    }

    long messages() {
        return messages;
    }
}
