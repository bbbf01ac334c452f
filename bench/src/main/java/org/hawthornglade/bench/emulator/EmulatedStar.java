package org.hawthornglade.bench.emulator;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.limit.PermitRequests;
import org.hawthornglade.core.limit.LimitUpdate;

/** What entries and their leader tell each other of limits; a leader that is gone or paused is replaced. */
final class EmulatedStar {
    private static final long CHECK_MS = 50;
    private static final long ASK_EVERY_MS = 250;
    /** How long nobody leads after the leader has ended, or has been silent. */
    private static final int LEAST_GAP_MS = 300;

    private static final int GAP_SPREAD_MS = 2_500;

    private final VirtualTime time;
    private final EmulatedNetwork network;
    private final Random random;
    private final List<EmulatedEntry> entries;
    private EmulatedEntry leader;
    private boolean electing;
    private long messages;

    EmulatedStar(VirtualTime time, EmulatedNetwork network, Random random, List<EmulatedEntry> entries) {
        this.time = time;
        this.network = network;
        this.random = random;
        this.entries = entries;
    }

    void start() {
        lead(entries.get(0));
        check();
        askAll();
    }

    private void lead(EmulatedEntry entry) {
        leader = entry;
        leader.shares().reset();
        entries.forEach(each -> each.limits().onLeaderLost());
    }

    /** The lease of a leader that is paused ends; the next one begins with nothing. */
    private void check() {
        boolean lost = leader.gone() || leader.paused();
        if (lost && !electing) {
            electing = true;
            time.after(LEAST_GAP_MS + random.nextInt(GAP_SPREAD_MS), this::elect);
        }
        if (!lost && !electing) {
            EmulatedEntry leading = leader;
            tell(leading, leading.shares().check(true, time.nowMs()));
        }
        time.after(CHECK_MS, this::check);
    }

    private void elect() {
        electing = false;
        entries.stream()
                .filter(entry -> !entry.gone() && !entry.paused())
                .findFirst()
                .ifPresent(this::lead);
    }

    /** Calls that wait ask at once; all the others are spread over the time between two asks. */
    private void askAll() {
        for (EmulatedEntry entry : List.copyOf(entries)) {
            time.after(random.nextInt((int) ASK_EVERY_MS), () -> entry.run(() -> ask(entry)));
        }
        time.after(ASK_EVERY_MS, this::askAll);
    }

    void ask(EmulatedEntry entry) {
        EmulatedEntry to = leader;
        PermitRequests asks = entry.limits().requests(time.nowMs());
        messages++;
        time.after(network.delayMs(), () -> to.run(() -> asked(to, entry, asks)));
    }

    private void asked(EmulatedEntry to, EmulatedEntry from, PermitRequests asks) {
        if (to == leader && !electing) {
            tell(to, to.shares().onRequests(name(from), asks, true, time.nowMs()));
        }
    }

    private void tell(EmulatedEntry from, Set<String> names) {
        for (EmulatedEntry entry : entries) {
            if (names.contains(name(entry))) {
                messages++;
                LimitUpdate news = from.shares().update(name(entry), time.nowMs());
                time.after(network.delayMs(), () -> entry.run(() -> told(from, entry, news)));
            }
        }
    }

    private void told(EmulatedEntry from, EmulatedEntry entry, LimitUpdate news) {
        if (from == leader) {
            entry.limits().onUpdate(news, time.nowMs());
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
