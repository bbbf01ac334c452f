package org.hawthornglade.ports.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.hawthornglade.ports.configuration.TwoOffices.NORTH;
import static org.hawthornglade.ports.configuration.TwoOffices.SOUTH;
import static org.hawthornglade.ports.configuration.TwoOffices.setting;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.table.FakeTable.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class PlanServiceTest {
    private final TwoOffices offices = new TwoOffices().withFirstConfiguration();
    private final Plan plan =
            offices.north.plan(NORTH, setting("maxReplicas", 2)).get();

    @Test
    void theSecondOfTwoOfficesGetsAFreshPlanWithTheOthersChange() {
        Plan other = offices.south.plan(SOUTH, setting("maxConcurrent", 7)).get();
        assertThat(other.otherPlans().get(0).touchesSame()).containsExactly("models/quote");
        offices.north.confirm(NORTH, plan.id()).get();

        ConfirmRefusal refusal = offices.south.confirm(SOUTH, other.id()).getLeft();

        assertThat(refusal.failure().code()).isEqualTo(ResultCode.STALE_PLAN);
        Plan fresh = refusal.freshPlan().orElseThrow();
        assertThat(fresh.baseVersion()).isEqualTo(2);
        assertThat(fresh.otherPlans()).isEmpty();
        offices.south.confirm(SOUTH, fresh.id()).get();
        ModelSpec model = offices.configurations.newest().get().models().get(0);
        assertThat(model.maxReplicas()).isEqualTo(2);
        assertThat(model.maxConcurrent()).isEqualTo(7);
    }

    @Test
    void detectsAConfirmBetweenReadAndWrite() {
        Plan other = offices.south.plan(SOUTH, setting("maxConcurrent", 7)).get();
        offices.table.beforeNextTransaction(
                () -> offices.south.confirm(SOUTH, other.id()).get());

        ConfirmRefusal refusal = offices.north.confirm(NORTH, plan.id()).getLeft();

        assertThat(refusal.failure().code()).isEqualTo(ResultCode.STALE_PLAN);
        assertThat(offices.configurations.newest().get().planId())
                .isEqualTo(other.id().value());
    }

    @Test
    void reportsWhyAStaleIntentNoLongerApplies() {
        Plan removal = offices.south
                .plan(SOUTH, TwoOffices.intent("{\"removeModels\": [\"quote\"]}"))
                .get();
        Plan again = offices.north
                .plan(NORTH, TwoOffices.intent("{\"removeModels\": [\"quote\"]}"))
                .get();
        offices.south.confirm(SOUTH, removal.id()).get();

        ConfirmRefusal refusal = offices.north.confirm(NORTH, again.id()).getLeft();

        assertThat(refusal.failure().code()).isEqualTo(ResultCode.STALE_PLAN);
        assertThat(refusal.replanRefusal().orElseThrow().faults().get(0).path()).isEqualTo("/removeModels/0");
    }

    static Stream<Arguments> faults() {
        Fault none = Fault.NONE;
        Fault down = Fault.DOWN;
        Fault before = Fault.LOST_BEFORE;
        Fault after = Fault.LOST_AFTER;
        // The reads of a confirm: the plan, the head, then the read-back after each lost reply.
        return Stream.of(
                Arguments.of("down", List.of(down), List.of(), ResultCode.PLATFORM_UNAVAILABLE, false),
                Arguments.of("reads down", List.of(), List.of(down), ResultCode.PLATFORM_UNAVAILABLE, false),
                Arguments.of("head down", List.of(), List.of(none, down), ResultCode.PLATFORM_UNAVAILABLE, false),
                Arguments.of("reply lost", List.of(after), List.of(), ResultCode.OK, true),
                Arguments.of("request lost", List.of(before), List.of(), ResultCode.OK, true),
                Arguments.of("request lost twice", List.of(before, before), List.of(), ResultCode.OK, true),
                Arguments.of(
                        "request lost three times",
                        List.of(before, before, before),
                        List.of(),
                        ResultCode.CONFIRM_OUTCOME_UNKNOWN,
                        false),
                Arguments.of(
                        "reply lost, first read-back down",
                        List.of(after),
                        List.of(none, none, down),
                        ResultCode.OK,
                        true),
                Arguments.of(
                        "reply lost, then all down",
                        List.of(after, down),
                        List.of(none, none, down, down),
                        ResultCode.CONFIRM_OUTCOME_UNKNOWN,
                        true),
                Arguments.of(
                        "request lost, then all down",
                        List.of(before, down),
                        List.of(none, none, down, down),
                        ResultCode.CONFIRM_OUTCOME_UNKNOWN,
                        false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void reportsTheActualOutcomeUnderFaults(
            String name, List<Fault> transactions, List<Fault> reads, ResultCode expected, boolean tookEffect) {
        offices.table.failTransactions(transactions);
        offices.table.failReads(reads);

        Either<ConfirmRefusal, Confirmation> result = offices.north.confirm(NORTH, plan.id());

        offices.table.clearFaults();
        ResultCode code = result.fold(refusal -> refusal.failure().code(), confirmation -> ResultCode.OK);
        assertThat(code).isEqualTo(expected);
        assertThat(offices.headVersion()).isEqualTo(tookEffect ? 2 : 1);
        Confirmation again = offices.south.confirm(NORTH, plan.id()).get();
        assertThat(again.repeated()).isEqualTo(tookEffect);
        assertThat(again.configuration().version()).isEqualTo(2);
        assertThat(offices.headVersion()).isEqualTo(2);
    }

    @Test
    void aRepeatedConfirmReturnsTheSameResultAfterLaterConfirms() {
        Confirmation first = offices.north.confirm(NORTH, plan.id()).get();
        offices.clock.advance(5_000);
        Plan later = offices.south.plan(SOUTH, setting("maxReplicas", 1)).get();
        offices.south.confirm(SOUTH, later.id()).get();

        Confirmation again = offices.south.confirm(NORTH, plan.id()).get();

        assertThat(again).isEqualTo(new Confirmation(first.configuration(), true));
        assertThat(offices.headVersion()).isEqualTo(3);
    }

    @Test
    void onlyTheOfficeThatMadeAPlanConfirmsIt() {
        assertThat(offices.south.confirm(SOUTH, plan.id()).getLeft().failure().code())
                .isEqualTo(ResultCode.UNKNOWN_PLAN);
    }

    @Test
    void deletesOldSnapshotsWithTheirPlans() {
        offices.north.confirm(NORTH, plan.id()).get();
        ConfigurationStore retainingTwo = new ConfigurationStore(offices.table, 2);
        Plan third = offices.north.plan(NORTH, setting("maxReplicas", 3)).get();
        retainingTwo.confirm(third, 0).get();
        Plan fourth = offices.north.plan(NORTH, setting("maxReplicas", 4)).get();
        retainingTwo.confirm(fourth, 0).get();

        assertThat(retainingTwo.snapshot(2).get()).isEqualTo(Optional.empty());
        assertThat(retainingTwo.snapshot(3).get().orElseThrow().planId())
                .isEqualTo(third.id().value());
        assertThat(offices.north.confirm(NORTH, plan.id()).getLeft().failure().code())
                .isEqualTo(ResultCode.UNKNOWN_PLAN);
        assertThat(offices.north.confirm(NORTH, third.id()).get().repeated()).isTrue();
    }

    @Test
    void deletesExpiredPlans() {
        offices.clock.advance(PlanStore.RETENTION_MS + 1);
        Plan fresh = offices.north.plan(NORTH, setting("maxReplicas", 2)).get();
        assertThat(fresh.otherPlans()).isEmpty();
        assertThat(offices.north.confirm(NORTH, plan.id()).getLeft().failure().code())
                .isEqualTo(ResultCode.UNKNOWN_PLAN);
    }
}
