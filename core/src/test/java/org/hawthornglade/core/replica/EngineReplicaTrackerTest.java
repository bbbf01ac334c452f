package org.hawthornglade.core.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.fleet.InstanceVersion;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.ModelName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Orders, reports and records of one engine that arrive late, out of order or not at all. */
class EngineReplicaTrackerTest {
    private static final ModelName M0 = ModelName.of("m0");
    private static final ModelName M1 = ModelName.of("m1");

    private final EngineReplicaTracker tracker =
            new EngineReplicaTracker(Records.ready("a", List.of("m0"), List.of("m0", "m1")));

    private static EngineReport report(long sequence, boolean busy, ModelName... models) {
        Map<ModelName, Set<AdapterName>> held = new LinkedHashMap<>();
        for (ModelName model : models) {
            held.put(model, Set.of());
        }
        return new EngineReport(new InstanceVersion(1, sequence), busy, held, Set.of(), Set.of(M0, M1));
    }

    private ReplicaOrder order(OrderAction action, ModelName model) {
        return new ReplicaOrder(tracker.id(), action, model, Optional.empty(), tracker.version());
    }

    @Test
    void acceptsNoOrderBeforeTheFirstReport() {
        assertThat(tracker.acceptsModelOrder()).isFalse();
        assertThat(tracker.needsReport(0)).isTrue();
        tracker.onReport(report(4, false, M0), 0);
        assertThat(tracker.acceptsModelOrder()).isTrue();
        assertThat(tracker.version().orderSequence()).isEqualTo(4);
    }

    @ParameterizedTest
    @EnumSource(
            value = OrderOutcome.class,
            names = {"CONFLICT", "UNKNOWN", "REFUSED", "ALREADY_DONE"})
    void requestsAReportAfterAnOrderWhoseEffectIsUncertain(OrderOutcome outcome) {
        tracker.onReport(report(4, false, M0), 0);
        ReplicaOrder order = order(OrderAction.LOAD, M1);
        tracker.onOrderSent(order, 10);
        tracker.onOrderAnswered(order, outcome, OrderDuration.of(800), 20);
        assertThat(tracker.acceptsModelOrder()).isFalse();
        assertThat(tracker.needsReport(20)).isFalse();
        assertThat(tracker.needsReport(320)).isTrue();
    }

    /** The leader changes while a load runs: the new leader must neither order the load again nor forget it. */
    @ParameterizedTest
    @CsvSource({"1, true, true", "1, false, false", "2, true, false"})
    void aNewLeaderAdoptsTheRunningLoadOfThePreviousOne(long bornMs, boolean busy, boolean offered) {
        Map<ModelName, ReplicaState> published = Map.of(M1, new ReplicaState(ReplicaStatus.LOADING, 5_000, Map.of()));
        tracker.adoptPlacement(new InstancePlacement(tracker.id(), bornMs, published));
        tracker.onReport(report(4, busy, M0), 100);
        assertThat(tracker.offers(M1, 100)).isEqualTo(offered);
    }

    @Test
    void anOutdatedReportDoesNotUndoAnAcceptedOrder() {
        tracker.onReport(report(4, false, M0), 0);
        ReplicaOrder order = order(OrderAction.LOAD, M1);
        tracker.onOrderSent(order, 10);
        tracker.onOrderAnswered(order, OrderOutcome.ACCEPTED, OrderDuration.of(800), 20);
        tracker.onReport(report(4, false, M0), 30);
        assertThat(tracker.version().orderSequence()).isEqualTo(5);
        assertThat(tracker.models().get(M1).status()).isEqualTo(ReplicaStatus.LOADING);
    }

    @Test
    void aLoadEndsWithTheRecordThatListsTheModel() {
        tracker.onReport(report(4, false, M0), 0);
        ReplicaOrder order = order(OrderAction.LOAD, M1);
        tracker.onOrderSent(order, 10);
        tracker.onOrderAnswered(order, OrderOutcome.ACCEPTED, OrderDuration.of(800), 20);
        tracker.onListed(Records.record("a", false, 1, 2, List.of("m0"), List.of("m0", "m1")), 500);
        assertThat(tracker.serves(M1)).isFalse();
        tracker.onListed(Records.record("a", false, 1, 3, List.of("m0", "m1"), List.of("m0", "m1")), 830);
        assertThat(tracker.serves(M1)).isTrue();
        assertThat(tracker.acceptsModelOrder()).isTrue();
    }

    @Test
    void aModelIsNotServedOnceItsUnloadIsSent() {
        tracker.onReport(report(4, false, M0), 0);
        tracker.onOrderSent(order(OrderAction.UNLOAD, M0), 10);
        assertThat(tracker.serves(M0)).isFalse();
        assertThat(tracker.placement(Map.of(), 10).models().get(M0).status()).isEqualTo(ReplicaStatus.UNLOADING);
    }

    @Test
    void aReportUndoesAnUnloadThatWasNotAccepted() {
        tracker.onReport(report(4, false, M0), 0);
        ReplicaOrder order = order(OrderAction.UNLOAD, M0);
        tracker.onOrderSent(order, 10);
        tracker.onOrderAnswered(order, OrderOutcome.CONFLICT, OrderDuration.of(20), 20);
        tracker.onReport(report(4, false, M0), 400);
        assertThat(tracker.serves(M0)).isTrue();
    }

    @Test
    void anUnreachableEngineOffersNothingUntilItAnswers() {
        tracker.onReport(report(4, false, M0), 0);
        assertThat(tracker.offers(M0, 0)).isTrue();
        tracker.suspect(10);
        assertThat(tracker.needsReport(10)).isTrue();
        tracker.onReportFailed();
        assertThat(tracker.offers(M0, 20)).isFalse();
        assertThat(tracker.acceptsModelOrder()).isFalse();
        tracker.onReport(report(4, false, M0), 900);
        assertThat(tracker.offers(M0, 900)).isTrue();
    }

    @Test
    void aTimedOutLoadIsNotOffered() {
        tracker.onReport(report(4, false, M0), 0);
        ReplicaOrder order = order(OrderAction.LOAD, M1);
        tracker.onOrderSent(order, 10);
        tracker.onOrderAnswered(order, OrderOutcome.ACCEPTED, OrderDuration.of(800), 20);
        assertThat(tracker.offers(M1, 820)).isTrue();
        assertThat(tracker.offers(M1, 2_500)).isFalse();
    }

    /**
     * An engine that announces that it is leaving offers nothing, whatever the instance list says, until its next
     * start.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "2, true"})
    void anEngineThatAnnouncesLeavingOffersNothingUntilItsNextStart(long bornMs, boolean offers) {
        tracker.onReport(report(4, false, M0), 0);
        tracker.onLeavingAnnounced(bornMs);
        assertThat(tracker.offers(M0, 10)).isEqualTo(offers);
        assertThat(tracker.acceptsModelOrder()).isEqualTo(offers);
        tracker.onListed(Records.record("a", false, 9, 1, List.of("m0"), List.of()), 100);
        assertThat(tracker.offers(M0, 100)).isTrue();
    }

    @Test
    void aRestartUnderTheSameIdResetsTheTracker() {
        tracker.onReport(report(4, false, M0), 0);
        tracker.onListed(Records.record("a", false, 9, 1, List.of(), List.of()), 100);
        assertThat(tracker.serves(M0)).isFalse();
        assertThat(tracker.acceptsModelOrder()).isFalse();
        assertThat(tracker.version()).isEqualTo(new InstanceVersion(9, 0));
    }

    @Test
    void aRecordThatContradictsTheTrackerLeadsToAReport() {
        tracker.onReport(report(4, false, M0), 0);
        tracker.onListed(Records.record("a", false, 1, 2, List.of(), List.of()), 1_000);
        assertThat(tracker.acceptsModelOrder()).isFalse();
        assertThat(tracker.needsReport(1_000)).isTrue();
    }
}
