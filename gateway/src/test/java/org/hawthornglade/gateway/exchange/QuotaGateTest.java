package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.quota.QuotaClient;
import org.hawthornglade.core.quota.QuotaGrant;
import org.hawthornglade.core.quota.QuotaPatience;
import org.hawthornglade.core.quota.QuotaTolerance;
import org.hawthornglade.core.quota.QuotaUpdate;
import org.hawthornglade.core.team.QuotaUnit;
import org.hawthornglade.core.team.TeamQuota;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What happens to a call before it is sent, depending on the quota of its team. */
class QuotaGateTest {
    private static final TeamName TEAM = TeamName.of("t");
    private static final TeamQuota QUOTA = new TeamQuota(QuotaUnit.TOKEN, 1_000, 1_000, 200);

    private final ManualClock clock = new ManualClock(10_000);
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final EventLog log =
            new EventLog(clock, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
    private final QuotaClient client = new QuotaClient(new QuotaTolerance(8_000, 0.1, 0), 1);
    private final QuotaGate gate =
            new QuotaGate(client, new Timers(channel.eventLoop(), log), clock, log, new GatewayMetrics());
    private final List<QuotaHold> admitted = new ArrayList<>();
    private final List<Long> refused = new ArrayList<>();
    private int asks;

    QuotaGateTest() {
        channel.freezeTime();
        gate.onAsk(() -> asks++);
        client.onConfiguration(Map.of(TEAM, QUOTA));
    }

    private void advance(long ms) {
        clock.advance(ms);
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    private void answer(double granted, long shortMs) {
        QuotaGrant grant = new QuotaGrant(TEAM, granted, granted, 0.5, shortMs);
        client.onUpdate(new QuotaUpdate(7, clock.nowMs(), 2, List.of(grant)), clock.nowMs());
        gate.onAnswer();
    }

    private void call(double units) {
        call(units, QuotaPatience.NONE);
    }

    private void call(double units, QuotaPatience patience) {
        gate.admit(TEAM, units, patience, admitted::add, refused::add);
        channel.runPendingTasks();
    }

    /** Guards against a message for each call of a team that is within its quota. */
    @Test
    void callForWhichUnitsAreGrantedPassesWithoutAsking() {
        answer(400, 0);
        call(200);
        assertThat(admitted).hasSize(1);
        assertThat(asks).isEqualTo(0);
    }

    /** Guards against refusing a call for which the leader has units. */
    @Test
    void callWaitsForTheAnswerOfTheLeader() {
        answer(100, 0);
        call(200);
        assertThat(asks).isEqualTo(1);
        assertThat(refused).isEmpty();
        answer(200, 0);
        assertThat(admitted).hasSize(1);
        advance(QuotaGate.ANSWER_LIMIT_MS);
        assertThat(refused).isEmpty();
    }

    /** Guards against holding a call while the leader is silent. */
    @Test
    void callIsRefusedIfTheLeaderDoesNotAnswer() {
        answer(100, 0);
        call(200);
        advance(QuotaGate.ANSWER_LIMIT_MS);
        assertThat(refused).containsExactly(300L);
        answer(1_000, 0);
        assertThat(admitted).isEmpty();
    }

    /** Guards against a Retry-After at which the team has no room yet, and against asking for every refused call. */
    @Test
    void refusalStatesWhenThereIsRoom() {
        answer(100, 0);
        call(200);
        client.report(clock.nowMs());
        answer(100, 1_700);
        call(200);
        assertThat(refused).containsExactly(1_700L, 1_700L);
        assertThat(asks).isEqualTo(1);
    }

    /** Guards against charging a team for calls that have not reached any endpoint, and against refunding twice. */
    @Test
    void refundedUnitsCanBeUsedOnce() {
        answer(200, 0);
        call(200);
        admitted.get(0).refund();
        admitted.get(0).refund();
        call(200);
        call(200);
        assertThat(admitted).hasSize(2);
    }

    /** Guards against unlimited use by an entry that has never heard a leader. */
    @Test
    void nothingIsAdmittedBeforeTheFirstAnswer() {
        call(200);
        assertThat(admitted).isEmpty();
        assertThat(refused).hasSize(1);
    }

    /** Guards against refusing patient calls while the leader is replaced, which takes some seconds. */
    @Test
    void patientCallWaitsForTheNextLeader() {
        answer(100, 0);
        call(200, new QuotaPatience(0, 4_000));
        for (int i = 0; i < 35; i++) {
            advance(100);
        }
        assertThat(refused).isEmpty();
        answer(300, 0);
        assertThat(admitted).hasSize(1);
    }

    /** Guards against refusing a patient call for which there is room soon. */
    @Test
    void patientCallWaitsForRoomThatComesSoon() {
        answer(100, 0);
        call(200, new QuotaPatience(500, 0));
        client.report(clock.nowMs());
        answer(100, 300);
        for (int i = 0; i < 3; i++) {
            assertThat(client.reportUrgent()).isFalse();
            advance(100);
        }
        assertThat(refused).isEmpty();
        assertThat(client.reportUrgent()).isTrue();
        client.report(clock.nowMs());
        answer(300, 0);
        assertThat(admitted).hasSize(1);
    }

    /** Guards against holding a call whose room comes too late, or that is in vain. */
    @ParameterizedTest
    @CsvSource({"500, 4000, 600", "100, 0, 200"})
    void callIsRefusedAtOnceIfRoomComesTooLate(long shortMs, long leaderlessMs, long roomInMs) {
        answer(100, 0);
        call(200, new QuotaPatience(shortMs, leaderlessMs));
        client.report(clock.nowMs());
        answer(100, roomInMs);
        assertThat(refused).hasSize(1);
    }

    /** Guards against a call that is held without an end, and against answering it twice. */
    @Test
    void patientCallIsRefusedWhenItsTimeHasPassed() {
        answer(100, 0);
        // More than the share of this entry ever has.
        call(2_000, new QuotaPatience(0, 1_000));
        for (int i = 0; i < 11; i++) {
            advance(100);
        }
        assertThat(refused).hasSize(1);
        answer(1_000, 0);
        assertThat(admitted).isEmpty();
    }

    /** Guards against calls that are held while the entry stops. */
    @Test
    void heldCallsAreRefusedWhenTheEntryStops() {
        answer(100, 0);
        call(200, new QuotaPatience(0, 4_000));
        advance(QuotaGate.ANSWER_LIMIT_MS);
        assertThat(refused).isEmpty();
        gate.refuseHeld();
        assertThat(refused).hasSize(1);
        call(200, new QuotaPatience(0, 4_000));
        advance(QuotaGate.ANSWER_LIMIT_MS);
        assertThat(refused).hasSize(2);
    }
}
