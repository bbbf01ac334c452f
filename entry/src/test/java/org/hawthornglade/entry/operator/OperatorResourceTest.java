package org.hawthornglade.entry.operator;

import static com.google.common.truth.Truth.assertThat;
import static org.hawthornglade.entry.operator.OperatorFixture.CALLER;
import static org.hawthornglade.entry.operator.OperatorFixture.NORTH;
import static org.hawthornglade.entry.operator.OperatorFixture.SOUTH;

import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.event.TimelineEvent;
import org.hawthornglade.core.instance.InstanceRole;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.standin.table.InMemoryTableService;
import org.hawthornglade.standin.table.TableSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

final class OperatorResourceTest {
    private static final String FIRST = """
            {"reason": "begin",
             "organisations": [{"id": "mills", "maxAccelerators": 4}],
             "classes": [{"name": "drafting", "defaultDeadlineMs": 2000, "maxQueued": 10}],
             "models": [{"name": "quote", "version": "1", "memoryMb": 100, "maxReplicas": 1,
                         "organisations": ["mills"], "serviceClass": "drafting"}]}""";

    private final InMemoryTableService table =
            new InMemoryTableService(TableSettings.of("table"), new ManualClock(1_000_000));
    private final OperatorFixture entry = new OperatorFixture(table);
    private final OperatorFixture otherEntry = new OperatorFixture(table);

    private static ResultCode codeOf(Response response) {
        OperatorResponses.Refusal refusal = (OperatorResponses.Refusal) response.getEntity();
        ResultCode code = ResultCode.ofNumber(refusal.error().code()).orElseThrow();
        assertThat(response.getStatus()).isEqualTo(code.httpStatus());
        return code;
    }

    private static Plan planOf(Response response) {
        assertThat(response.getStatus()).isEqualTo(200);
        return (Plan) response.getEntity();
    }

    private OperatorResponses.Confirmed confirmFirstPlan() throws IOException {
        Plan plan = planOf(entry.plan(NORTH, FIRST));
        return (OperatorResponses.Confirmed)
                entry.resource.confirm(NORTH, plan.id().value()).getEntity();
    }

    static Stream<Arguments> routes() {
        return Stream.<Function<OperatorResource, Function<String, Response>>>of(
                        resource -> token -> resource.confirm(token, "plan-1"),
                        resource -> resource::status,
                        resource -> token -> resource.explainRequest(token, "r"),
                        resource -> token -> resource.explainModel(token, "quote"),
                        resource -> token -> resource.drain(token, "e1"),
                        resource -> token -> resource.timeline(token, null, null, null, 0, Long.MAX_VALUE),
                        resource -> resource::node,
                        resource -> resource::nodeTimeline)
                .map(Arguments::of);
    }

    @ParameterizedTest
    @MethodSource("routes")
    void everyRouteRequiresAnOperatorToken(Function<OperatorResource, Function<String, Response>> route) {
        assertThat(codeOf(route.apply(entry.resource).apply(null))).isEqualTo(ResultCode.MISSING_KEY);
        assertThat(codeOf(route.apply(entry.resource).apply("Bearer x"))).isEqualTo(ResultCode.UNKNOWN_KEY);
        assertThat(codeOf(route.apply(entry.resource).apply(CALLER))).isEqualTo(ResultCode.WRONG_CREDENTIAL_KIND);
    }

    @Test
    void planningRequiresAnOperatorToken() throws IOException {
        assertThat(codeOf(entry.plan(CALLER, FIRST))).isEqualTo(ResultCode.WRONG_CREDENTIAL_KIND);
    }

    @Test
    void aConfirmedPlanTakesEffectImmediately() throws IOException {
        OperatorResponses.Confirmed confirmed = confirmFirstPlan();
        assertThat(confirmed.version()).isEqualTo(1);
        assertThat(confirmed.repeated()).isFalse();
        assertThat(entry.holder.current().version()).isEqualTo(1);
        assertThat(confirmAgain(confirmed).repeated()).isTrue();
    }

    private OperatorResponses.Confirmed confirmAgain(OperatorResponses.Confirmed first) {
        return (OperatorResponses.Confirmed)
                otherEntry.resource.confirm(NORTH, first.planId()).getEntity();
    }

    @Test
    void theRefusalOfAStalePlanIncludesAFreshPlan() throws IOException {
        confirmFirstPlan();
        Plan mine = planOf(entry.plan(NORTH, "{\"models\": [{\"name\": \"quote\", \"maxReplicas\": 2}]}"));
        Plan theirs = planOf(otherEntry.plan(SOUTH, "{\"models\": [{\"name\": \"quote\", \"maxConcurrent\": 5}]}"));
        otherEntry.resource.confirm(SOUTH, theirs.id().value());

        Response response = entry.resource.confirm(NORTH, mine.id().value());

        assertThat(codeOf(response)).isEqualTo(ResultCode.STALE_PLAN);
        Plan fresh = ((OperatorResponses.Refusal) response.getEntity()).freshPlan();
        assertThat(fresh.result().models().get(0).maxConcurrent()).isEqualTo(5);
        assertThat(fresh.result().models().get(0).maxReplicas()).isEqualTo(2);
        assertThat(entry.timeline.after(0, 100).stream().map(TimelineEvent::kind))
                .containsExactly(
                        EventKind.PLAN_MADE, EventKind.PLAN_CONFIRMED, EventKind.PLAN_MADE, EventKind.PLAN_REFUSED);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"{|BAD_JSON", "{\"x\": 1}|INTENT_INVALID", "{\"removeModels\": [\"none\"]}|INTENT_INVALID"})
    void rejectsInvalidIntents(String intent, ResultCode code) throws IOException {
        assertThat(codeOf(entry.plan(NORTH, intent))).isEqualTo(code);
    }

    @Test
    void rejectsAnOversizedIntent() throws IOException {
        assertThat(codeOf(entry.plan(NORTH, " ".repeat(2 * 1024 * 1024)))).isEqualTo(ResultCode.BODY_TOO_LARGE);
    }

    @Test
    void rejectsUnknownNames() {
        assertThat(codeOf(entry.resource.confirm(NORTH, "plan-none"))).isEqualTo(ResultCode.UNKNOWN_PLAN);
        assertThat(codeOf(entry.resource.confirm(NORTH, "a b"))).isEqualTo(ResultCode.UNKNOWN_PLAN);
        assertThat(codeOf(entry.resource.drain(NORTH, "none"))).isEqualTo(ResultCode.UNKNOWN_INSTANCE);
        assertThat(codeOf(entry.resource.explainRequest(NORTH, "none"))).isEqualTo(ResultCode.UNKNOWN_REQUEST);
        assertThat(codeOf(entry.resource.explainModel(NORTH, "none"))).isEqualTo(ResultCode.UNKNOWN_MODEL);
    }

    @Test
    void statusListsProcessesWithAnOldConfiguration() throws IOException {
        confirmFirstPlan();
        entry.fleet.onEvent(new EntryEvent.InstancesListed(List.of(
                FleetTrackerTest.info("entry-1", InstanceRole.ENTRY, InstanceState.LIVE),
                FleetTrackerTest.info("e1", InstanceRole.ENGINE, InstanceState.LIVE))));

        Status status = (Status) entry.resource.status(NORTH).getEntity();

        assertThat(status.configuration().version()).isEqualTo(1);
        assertThat(status.store().reachable()).isTrue();
        assertThat(status.nodes().stream().filter(Status.Node::behind).map(Status.Node::instance))
                .containsExactly("e1");
    }

    @Test
    void explainsARequestFromItsEvents() {
        entry.timeline.record(
                EventDraft.of(EventKind.LOAD_DECIDED).model("quote").detail("too early"));
        entry.clock.advance(10);
        entry.timeline.record(EventDraft.of(EventKind.REQUEST_QUEUED)
                .request("r1")
                .model("quote")
                .detail("no replica is ready"));
        entry.clock.advance(10);
        entry.timeline.record(
                EventDraft.of(EventKind.LOAD_DECIDED).model("quote").detail("queued 1"));
        entry.timeline.record(EventDraft.of(EventKind.LOAD_DECIDED).model("other"));
        entry.timeline.record(
                EventDraft.of(EventKind.REQUEST_REFUSED).request("r1").code(ResultCode.QUEUE_FULL));
        entry.timeline.record(EventDraft.of(EventKind.REQUEST_QUEUED).request("r2"));

        Explanation found =
                (Explanation) entry.resource.explainRequest(NORTH, "r1").getEntity();

        assertThat(found.state()).isEqualTo("request refused by entry-1, QUEUE_FULL");
        assertThat(found.reasons())
                .containsExactly(
                        "request queued by entry-1: no replica is ready",
                        "load decided by entry-1: queued 1",
                        found.state())
                .inOrder();
    }
}
