package org.hawthornglade.bench.crash;

import java.util.List;
import java.util.Random;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.quarantine.PromptQuarantine.Role;
import org.hawthornglade.core.quarantine.QuarantineReport;
import org.hawthornglade.core.quarantine.QuarantineUpdate;

/** Carries reports and updates between entries and their leader, which changes now and then. */
final class CrashLeaderHub {
    private static final long CHECK_MS = 50;
    private static final int MAX_DELAY_MS = 30;
    private static final int MIN_TERM_MS = 4_000;
    private static final int TERM_SPREAD_MS = 20_000;
    private static final int MAX_ELECTION_MS = 3_000;

    private final VirtualTime time;
    private final Random random;
    private final List<CrashEntry> entries;
    private final boolean changes;
    private int leader;
    private boolean electing;
    private long messages;

    /**
     * Creates a hub whose first entry leads.
     *
     * @param changes whether the leader changes
     */
    CrashLeaderHub(VirtualTime time, Random random, List<CrashEntry> entries, boolean changes) {
        this.time = time;
        this.random = random;
        this.entries = entries;
        this.changes = changes;
    }

    void start() {
        assignRoles();
        check();
        if (changes) {
            time.after(MIN_TERM_MS + random.nextInt(TERM_SPREAD_MS), this::endTerm);
        }
    }

    private void assignRoles() {
        for (int i = 0; i < entries.size(); i++) {
            entries.get(i).quarantine().onRole(i == leader ? Role.LEADING : Role.FOLLOWING, time.nowMs());
        }
    }

    private long delayMs() {
        return random.nextInt(MAX_DELAY_MS);
    }

    private void check() {
        entries.forEach(entry -> entry.quarantine().check(time.nowMs()));
        if (!electing) {
            for (int i = 0; i < entries.size(); i++) {
                exchange(i);
            }
        }
        time.after(CHECK_MS, this::check);
    }

    private void exchange(int number) {
        CrashEntry from = entries.get(number);
        boolean changed = from.quarantine().pollChanged();
        if (number == leader) {
            from.quarantine().onReport(name(number), from.quarantine().report(), time.nowMs());
            if (changed || from.quarantine().pollChanged()) {
                publish(from.quarantine().update());
            }
            return;
        }
        QuarantineReport report = from.quarantine().report();
        if (!report.isEmpty()) {
            messages++;
            int to = leader;
            time.after(delayMs(), () -> onReport(to, number, report));
        }
    }

    private void onReport(int to, int from, QuarantineReport report) {
        if (to == leader && !electing) {
            entries.get(to).quarantine().onReport(name(from), report, time.nowMs());
        }
    }

    private void publish(QuarantineUpdate update) {
        int from = leader;
        for (int i = 0; i < entries.size(); i++) {
            if (i != from) {
                CrashEntry to = entries.get(i);
                messages++;
                time.after(delayMs(), () -> {
                    if (from == leader && !electing) {
                        to.quarantine().onUpdate(update);
                    }
                });
            }
        }
    }

    private void endTerm() {
        electing = true;
        entries.forEach(entry -> entry.quarantine().onRole(Role.WITHOUT_LEADER, time.nowMs()));
        time.after(1 + random.nextInt(MAX_ELECTION_MS), () -> {
            electing = false;
            leader = random.nextInt(entries.size());
            assignRoles();
            time.after(MIN_TERM_MS + random.nextInt(TERM_SPREAD_MS), this::endTerm);
        });
    }

    static String name(int number) {
        return "entry-" + number;
    }

    long messages() {
        return messages;
    }
}
