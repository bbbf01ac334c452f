package org.hawthornglade.core.plan;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.Configurations;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.Availability;
import org.hawthornglade.core.placement.PlacementInstance;
import org.hawthornglade.core.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the content of plans, and that invalid intents are refused with the code and location of the fault. */
final class PlannerTest {
    private static final PlanId ID = PlanId.of("plan-1");
    private static final OfficeId NORTH = OfficeId.of("north");

    private static PlanningContext context(List<AssignmentRow> rows, List<PlanSummary> openPlans) {
        List<PlacementInstance> instances = List.of(
                new PlacementInstance(InstanceId.of("a"), FailureDomain.of("east"), 1_500, 1, Availability.AVAILABLE),
                new PlacementInstance(InstanceId.of("b"), FailureDomain.of("west"), 1_500, 1, Availability.AVAILABLE));
        List<NodeVersion> nodes = List.of(new NodeVersion("a", 1), new NodeVersion("b", 0));
        return new PlanningContext(Configurations.valid(), instances, rows, nodes, openPlans);
    }

    private static AssignmentRow row(int ordinal, String instance, AssignmentState state) {
        return new AssignmentRow(new Assignment(ModelName.of("quote"), ordinal, InstanceId.of(instance), state, 1), 1);
    }

    private static Plan plan(String intent, PlanningContext context) {
        return Planner.plan(ID, NORTH, IntentJson.read(intent).get(), context, 5_000)
                .get();
    }

    @Test
    void keepsValuesThatAreNotStated() {
        Plan plan = plan("{\"models\": [{\"name\": \"quote\", \"maxConcurrent\": 9}]}", context(List.of(), List.of()));

        assertThat(plan.baseVersion()).isEqualTo(1);
        Configuration result = plan.result();
        assertThat(result.version()).isEqualTo(2);
        assertThat(result.models().get(0).maxConcurrent()).isEqualTo(9);
        assertThat(result.models().get(0).memoryMb()).isEqualTo(1_000);
        assertThat(result.adapters()).isEqualTo(Configurations.valid().adapters());
        assertThat(plan.changes())
                .containsExactly(new Change(
                        Change.Kind.CHANGE,
                        "models",
                        "quote",
                        List.of(new Change.FieldChange("maxConcurrent", "4", "9"))));
    }

    @Test
    void showsUnloadsAndTheOrganisationsAffected() {
        PlanningContext context =
                context(List.of(row(0, "a", AssignmentState.HELD), row(1, "b", AssignmentState.RELEASING)), List.of());
        Plan plan = plan("{\"removeModels\": [\"quote\"], \"removeAdapters\": [\"quote-ms\"]}", context);

        assertThat(plan.unloads().stream().map(unload -> unload.model() + "@" + unload.instance()))
                .containsExactly("quote@a", "quote-ms@a", "quote@b", "quote-ms@b");
        assertThat(plan.unloads().get(0).organisations()).containsExactly(Configurations.MILLS);
        assertThat(plan.replicas()).isEmpty();
        assertThat(plan.underWay().releasing())
                .containsExactly(context.rows().get(1).assignment());
        assertThat(plan.underWay().behind()).containsExactly(new NodeVersion("b", 0));
    }

    @Test
    void showsReplicasAfterThePlan() {
        PlanningContext context = context(List.of(row(0, "a", AssignmentState.HELD)), List.of());
        Plan plan = plan("{\"models\": [{\"name\": \"quote\", \"maxReplicas\": 3}]}", context);

        assertThat(plan.replicas())
                .containsExactly(
                        new PlannedReplica(ModelName.of("quote"), 0, InstanceId.of("a"), false),
                        new PlannedReplica(ModelName.of("quote"), 1, InstanceId.of("b"), true),
                        new PlannedReplica(ModelName.of("quote"), 2, null, true));
        assertThat(plan.fit().instances().get(0).assignedMb()).isEqualTo(1_020);
        assertThat(plan.fit().budgets().get(0).acceleratorsAtMost()).isEqualTo(3);
        assertThat(plan.warnings()).contains("no available instance has room for replica 2 of quote");
    }

    @Test
    void showsOpenPlansOfOtherOfficesForTheSameEntries() {
        String intent = "{\"models\": [{\"name\": \"quote\", \"maxReplicas\": 1}]}";
        Plan other = Planner.plan(
                        PlanId.of("plan-0"),
                        OfficeId.of("south"),
                        IntentJson.read(intent).get(),
                        context(List.of(), List.of()),
                        4_000)
                .get();
        Plan plan = plan(intent, context(List.of(), List.of(PlanSummary.of(other))));

        assertThat(plan.otherPlans().get(0).touchesSame()).containsExactly("models/quote");
        assertThat(plan.warnings()).contains("plan plan-0 of office south also changes models/quote");
        assertThat(PlanJson.read(PlanJson.write(plan)).get()).isEqualTo(plan);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"models\": [|BAD_JSON|line 1",
                "{\"modles\": []}|INTENT_INVALID|modles",
                "{\"models\": [{\"name\": \"quote\", \"memory\": 3}]}|INTENT_INVALID|/models/0/memory",
                "{\"models\": [{\"name\": \"quote\", \"memoryMb\": 1.5}]}|INTENT_INVALID|/models/0/memoryMb",
                "{\"reason\": \"a\", \"reason\": \"b\"}|BAD_JSON|Duplicate",
                "{} {}|INTENT_INVALID|Trailing",
                "null|INTENT_INVALID|null",
            })
    void refusesInvalidIntentJson(String json, ResultCode code, String message) {
        var failure = IntentJson.read(json).getLeft();
        assertThat(failure.code()).isEqualTo(code);
        assertThat(failure.message()).contains(message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"removeModels\": [\"gone\"]}|INTENT_INVALID|/removeModels/0",
                "{\"models\": [{\"maxReplicas\": 1}]}|INTENT_INVALID|/models/0",
                "{\"models\": [{\"name\": \"new\"}]}|INTENT_INVALID|/models/1/memoryMb",
                "{\"models\": [{\"name\": \"quote\"}], \"removeModels\": [\"quote\"]}|INTENT_INVALID|/removeModels/0",
                "{\"removeModels\": [\"quote\"]}|INTENT_INVALID|/adapters/0/base",
                "{\"models\": [{\"name\": \"quote\", \"maxReplicas\": 9}]}|INTENT_DOES_NOT_FIT"
                        + "|/organisations/0/maxAccelerators",
            })
    void refusesIntentThatDoesNotApply(String json, ResultCode code, String path) {
        PlanRefusal refusal = Planner.plan(ID, NORTH, IntentJson.read(json).get(), context(List.of(), List.of()), 0)
                .getLeft();
        assertThat(refusal.failure().code()).isEqualTo(code);
        assertThat(refusal.faults().stream().map(fault -> fault.path())).contains(path);
    }
}
