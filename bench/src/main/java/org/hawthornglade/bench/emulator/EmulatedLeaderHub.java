package org.hawthornglade.bench.emulator;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.limit.PermitRequests;
import org.hawthornglade.core.limit.LimitUpdate;

/** What entries and their leader tell each other of limits; a leader that is gone or paused is replaced. */
final class EmulatedLeaderHub {
    private static final long CHECK_MS = 50;
    private static final long REQUEST_INTERVAL_MS = 250;
    /** How long nobody leads after the leader has ended, or has been silent. */
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
        entries.forEach(each -> each.permitClient().onLeaderLost());
    }

    /** The lease of a leader that is paused ends; the next one begins with nothing. */
    private void check() {
        boolean lost = leader.killed() || leader.paused();
        if (lost && !electing) {
            electing = true;
            time.after(MIN_ELECTION_MS + random.nextInt(ELECTION_SPREAD_MS), this::elect);
        }
        if (!lost && !electing) {
            EmulatedEntry leading = leader;
            sendUpdates(leading, leading.permitAllocator().check(true, time.nowMs()));
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

    /** Calls that wait ask at once; all the others are spread over the time between two asks. */
    private void scheduleRequests() {
        for (EmulatedEntry entry : List.copyOf(entries)) {
            time.after(random.nextInt((int) REQUEST_INTERVAL_MS), () -> entry.run(() -> sendRequests(entry)));
        }
        time.after(REQUEST_INTERVAL_MS, this::scheduleRequests);
    }

    void sendRequests(EmulatedEntry entry) {
        EmulatedEntry to = leader;
        PermitRequests asks = entry.permitClient().requests(time.nowMs());
        messages++;
        time.after(network.delayMs(), () -> to.run(() -> onRequests(to, entry, asks)));
    }

    private void onRequests(EmulatedEntry to, EmulatedEntry from, PermitRequests asks) {
        if (to == leader && !electing) {
            sendUpdates(to, to.permitAllocator().onRequests(name(from), asks, true, time.nowMs()));
        }
    }

    private void sendUpdates(EmulatedEntry from, Set<String> names) {
        for (EmulatedEntry entry : entries) {
            if (names.contains(name(entry))) {
                messages++;
                LimitUpdate news = from.permitAllocator().update(name(entry), time.nowMs());
                time.after(network.delayMs(), () -> entry.run(() -> onUpdate(from, entry, news)));
            }
        }
    }

    private void onUpdate(EmulatedEntry from, EmulatedEntry entry, LimitUpdate news) {
        if (from == leader) {
            entry.permitClient().onUpdate(news, time.nowMs());
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
