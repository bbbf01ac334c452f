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

class EngineReplicaTrackerTest {
    private static final ModelName M0 = ModelName.of("m0");
    private static final ModelName M1 = ModelName.of("m1");

    private final EngineReplicaTracker book = new EngineReplicaTracker(Records.ready("a", List.of("m0"), List.of("m0", "m1")));

    private static EngineReport report(long sequence, boolean busy, ModelName... models) {
        Map<ModelName, Set<AdapterName>> held = new LinkedHashMap<>();
        for (ModelName model : models) {
            held.put(model, Set.of());
        }
        return new EngineReport(new InstanceVersion(1, sequence), busy, held, Set.of(), Set.of(M0, M1));
    }

    private ReplicaOrder order(OrderAction action, ModelName model) {
        return new ReplicaOrder(book.id(), action, model, Optional.empty(), book.version());
    }

    @Test
    void takesNoOrderBeforeTheEngineItselfWasAsked() {
        assertThat(book.acceptsModelOrder()).isFalse();
        assertThat(book.needsReport(0)).isTrue();
        book.onReport(report(4, false, M0), 0);
        assertThat(book.acceptsModelOrder()).isTrue();
        assertThat(book.version().orderSequence()).isEqualTo(4);
    }

    @ParameterizedTest
    @EnumSource(
            value = OrderOutcome.class,
            names = {"CONFLICT", "UNKNOWN", "REFUSED", "ALREADY_DONE"})
    void asksTheEngineAfterAnOrderWhoseEffectIsNotCertain(OrderOutcome outcome) {
        book.onReport(report(4, false, M0), 0);
        ReplicaOrder order = order(OrderAction.LOAD, M1);
        book.onOrderSent(order, 10);
        book.onOrderAnswered(order, outcome, OrderDuration.of(800), 20);
        assertThat(book.acceptsModelOrder()).isFalse();
        assertThat(book.needsReport(20)).isFalse();
        assertThat(book.needsReport(320)).isTrue();
    }

    /** The leader changes while a load runs: the next one neither orders it again nor forgets it. */
    @ParameterizedTest
    @CsvSource({"1, true, true", "1, false, false", "2, true, false"})
    void aNewLeaderGoesOnWithTheLoadsOfTheOneBefore(long bornMs, boolean busy, boolean coming) {
        Map<ModelName, ReplicaState> told = Map.of(M1, new ReplicaState(ReplicaStatus.LOADING, 5_000, Map.of()));
        book.adoptPlacement(new InstancePlacement(book.id(), bornMs, told));
        book.onReport(report(4, busy, M0), 100);
        assertThat(book.offers(M1, 100)).isEqualTo(coming);
    }

    @Test
    void anOldReportDoesNotUndoAnAcceptedOrder() {
        book.onReport(report(4, false, M0), 0);
        ReplicaOrder order = order(OrderAction.LOAD, M1);
        book.onOrderSent(order, 10);
        book.onOrderAnswered(order, OrderOutcome.ACCEPTED, OrderDuration.of(800), 20);
        book.onReport(report(4, false, M0), 30);
        assertThat(book.version().orderSequence()).isEqualTo(5);
        assertThat(book.models().get(M1).status()).isEqualTo(ReplicaStatus.LOADING);
    }

    @Test
    void aLoadEndsWithTheRecordThatNamesTheModel() {
        book.onReport(report(4, false, M0), 0);
        ReplicaOrder order = order(OrderAction.LOAD, M1);
        book.onOrderSent(order, 10);
        book.onOrderAnswered(order, OrderOutcome.ACCEPTED, OrderDuration.of(800), 20);
        book.onListed(Records.record("a", false, 1, 2, List.of("m0"), List.of("m0", "m1")), 500);
        assertThat(book.serves(M1)).isFalse();
        book.onListed(Records.record("a", false, 1, 3, List.of("m0", "m1"), List.of("m0", "m1")), 830);
        assertThat(book.serves(M1)).isTrue();
        assertThat(book.acceptsModelOrder()).isTrue();
    }

    @Test
    void aModelIsNotServedFromTheMomentItsRemovalIsSent() {
        book.onReport(report(4, false, M0), 0);
        book.onOrderSent(order(OrderAction.UNLOAD, M0), 10);
        assertThat(book.serves(M0)).isFalse();
        assertThat(book.placement(Map.of(), 10).models().get(M0).status()).isEqualTo(ReplicaStatus.UNLOADING);
    }

    @Test
    void aRemovalThatWasNotTakenIsUndoneByTheReport() {
        book.onReport(report(4, false, M0), 0);
        ReplicaOrder order = order(OrderAction.UNLOAD, M0);
        book.onOrderSent(order, 10);
        book.onOrderAnswered(order, OrderOutcome.CONFLICT, OrderDuration.of(20), 20);
        book.onReport(report(4, false, M0), 400);
        assertThat(book.serves(M0)).isTrue();
    }

    @Test
    void anEngineThatDoesNotAnswerOffersNothingUntilItDoes() {
        book.onReport(report(4, false, M0), 0);
        assertThat(book.offers(M0, 0)).isTrue();
        book.suspect(10);
        assertThat(book.needsReport(10)).isTrue();
        book.onReportFailed();
        assertThat(book.offers(M0, 20)).isFalse();
        assertThat(book.acceptsModelOrder()).isFalse();
        book.onReport(report(4, false, M0), 900);
        assertThat(book.offers(M0, 900)).isTrue();
    }

    @Test
    void aLoadThatIsLongOverdueIsNoOffer() {
        book.onReport(report(4, false, M0), 0);
        ReplicaOrder order = order(OrderAction.LOAD, M1);
        book.onOrderSent(order, 10);
        book.onOrderAnswered(order, OrderOutcome.ACCEPTED, OrderDuration.of(800), 20);
        assertThat(book.offers(M1, 820)).isTrue();
        assertThat(book.offers(M1, 2_500)).isFalse();
    }

    /** An engine that has told an entry that it leaves offers nothing, whatever the list says; its next start does. */
    @ParameterizedTest
    @CsvSource({"1, false", "2, true"})
    void anEngineThatSaysItLeavesOffersNothingInThatStart(long bornMs, boolean offers) {
        book.onReport(report(4, false, M0), 0);
        book.onLeavingAnnounced(bornMs);
        assertThat(book.offers(M0, 10)).isEqualTo(offers);
        assertThat(book.acceptsModelOrder()).isEqualTo(offers);
        book.onListed(Records.record("a", false, 9, 1, List.of("m0"), List.of()), 100);
        assertThat(book.offers(M0, 100)).isTrue();
    }

    @Test
    void aRestartUnderTheSameIdForgetsEverything() {
        book.onReport(report(4, false, M0), 0);
        book.onListed(Records.record("a", false, 9, 1, List.of(), List.of()), 100);
        assertThat(book.serves(M0)).isFalse();
        assertThat(book.acceptsModelOrder()).isFalse();
        assertThat(book.version()).isEqualTo(new InstanceVersion(9, 0));
    }

    @Test
    void aRecordThatContradictsTheBookLeadsToAReport() {
        book.onReport(report(4, false, M0), 0);
        book.onListed(Records.record("a", false, 1, 2, List.of(), List.of()), 1_000);
        assertThat(book.acceptsModelOrder()).isFalse();
        assertThat(book.needsReport(1_000)).isTrue();
    }
}
