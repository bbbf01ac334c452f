package org.hawthornglade.gateway.leader;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.lease.Leadership;
import org.hawthornglade.core.lease.LeaseRow;
import org.hawthornglade.core.lease.StoredLease;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.store.StoreRevision;
import org.hawthornglade.gateway.log.EventLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the writes of the lease row tell about the entries that may use quotas. */
class LeaseManagerTest {
    private static final String FORMER = "1:0000000a";
    private static final StoreEra ERA = new StoreEra(1);

    private final MemoryLeaseStore store = new MemoryLeaseStore(new StoredLease(
            new StoreRevision(ERA, 7),
            Optional.of(new LeaseRow("b", "10.0.0.2:7000", 5, "b-1", 3, true, ERA, FORMER))));
    private final List<String> settled = new ArrayList<>();
    private String holders = "2:0000000a0000000b";
    private boolean leaderAlive;
    private long nowMs = 1_000;
    private final LeaseManager lease = new LeaseManager(
            new Leadership("a", "10.0.0.1:7000", "a-1", 1_800, true),
            store,
            () -> nowMs,
            () -> nowMs,
            new EventLog(() -> nowMs, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8)));

    private void run(long forMs) {
        for (long untilMs = nowMs + forMs; nowMs < untilMs; nowMs += 50) {
            lease.check(() -> leaderAlive);
        }
    }

    /** Guards against a claim that forgets the entries which hold shares, before the new leader has heard them. */
    @Test
    void claimKeepsTheEntriesAndRenewalsNameThoseOfTheLeader() {
        lease.recordQuotaHolders(() -> holders, settled::add);
        run(100);
        assertThat(store.row().quotaHolders()).isEqualTo(FORMER);
        assertThat(lease.quotaHolders()).isEqualTo(FORMER);
        run(1_000);
        assertThat(store.row().quotaHolders()).isEqualTo(holders);
        assertThat(settled).containsExactly(FORMER, holders).inOrder();
    }

    /** Guards against giving shares to entries by a write that may not have reached the store. */
    @Test
    void writeOfUnknownOutcomeIsSettledByTheNext() {
        lease.recordQuotaHolders(() -> holders, settled::add);
        run(100);
        store.outcomeKnown(false);
        run(600);
        assertThat(settled).containsExactly(FORMER);
        store.outcomeKnown(true);
        run(400);
        assertThat(settled.get(1)).isEqualTo(holders);
        assertThat(store.row().quotaHolders()).isEqualTo(holders);
    }

    /** Guards against a claim of the lease of a leader that was found while the store's answer was on its way. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whetherTheLeaderIsAliveIsLookedAtWhenTheRowArrives(boolean found) {
        store.delayResponses();
        run(50);
        leaderAlive = found;
        store.respond();
        assertThat(store.row().holder()).isEqualTo(found ? "b" : "a");
    }
}
