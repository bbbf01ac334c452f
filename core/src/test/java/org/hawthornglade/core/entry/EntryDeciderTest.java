package org.hawthornglade.core.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import org.hawthornglade.core.config.Configurations;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.report.ReplicaPhase;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that refusals, instances that are leaving and failed attempts do not keep an entry from serving requests. */
final class EntryDeciderTest {
    private static final InstanceId ENGINE = InstanceId.of("engine-1");

    private final EntryDecider decider = new EntryDecider(FailureDomain.of("domain-a"), new Random(1));
    private long nowMs = 1_000;

    @BeforeEach
    void setUpReadyEngine() {
        on(new EntryEvent.ConfigurationApplied(Configurations.valid()));
        on(new EntryEvent.AgentReported(Requests.engine("engine-1", false, ReplicaPhase.READY, 0)));
    }

    /** Refusals due to a slow period must end although no request completes and shows shorter times. */
    @Test
    void refusalsAfterSlowPeriodEnd() {
        for (int number = 0; number < 20; number++) {
            String id = "slow" + number;
            assertThat(on(arrival(id, 10_000))).contains(dispatch(id));
            nowMs += 9_000;
            on(new EntryEvent.AttemptEnded(AttemptId.of(id + ".1"), AttemptOutcome.complete()));
        }
        assertThat(codeOf(on(arrival("early", 5_000)))).isEqualTo(ResultCode.DEADLINE_NOT_REACHABLE);
        nowMs += 10_000;
        assertThat(on(arrival("later", 5_000))).contains(dispatch("later"));
    }

    /** A single sign that an instance is leaving stops new work for it at once. */
    @ParameterizedTest
    @ValueSource(strings = {"flag", "drain", "refusal"})
    void anySignOfLeavingStopsNewWork(String sign) {
        switch (sign) {
            case "flag" -> on(new EntryEvent.AgentReported(Requests.engine("engine-1", true, ReplicaPhase.READY, 0)));
            case "drain" -> on(new EntryEvent.InstanceDraining(ENGINE));
            default -> {
                on(arrival("first", 10_000));
                Failure leaving = Failure.retryAfter(ResultCode.AGENT_DRAINING, "leaving", 100);
                on(new EntryEvent.AttemptEnded(AttemptId.of("first.1"), AttemptOutcome.notRun(leaving)));
            }
        }
        nowMs += 500;
        assertThat(on(arrival("next", 10_000))).doesNotContain(dispatch("next"));
    }

    @Test
    void idempotentRequestIsRetriedAtAnotherAgent() {
        on(new EntryEvent.AgentReported(Requests.engine("engine-2", false, ReplicaPhase.READY, 0)));
        InstanceId first = instanceOf(on(arrival("r", 10_000)));
        Failure broken = Failure.of(ResultCode.OUTCOME_UNKNOWN, "broken");
        on(new EntryEvent.AttemptEnded(AttemptId.of("r.1"), AttemptOutcome.unknown(broken, false)));
        nowMs += 600;
        assertThat(instanceOf(on(new EntryEvent.Tick()))).isNotEqualTo(first);
    }

    @Test
    void requestRefusedWithRetryAfterCountsAsDemand() {
        EntryDecider cold = new EntryDecider(FailureDomain.of("domain-a"), new Random(1));
        cold.on(new EntryEvent.ConfigurationApplied(Configurations.valid()), nowMs);
        cold.on(new EntryEvent.AgentReported(Requests.engine("engine-1", false, ReplicaPhase.ABSENT, 9_000)), nowMs);
        List<EntryCommand> commands = cold.on(arrival("r", 1_000), nowMs);
        assertThat(codeOf(commands)).isEqualTo(ResultCode.DEADLINE_NOT_REACHABLE);
        boolean publishesDemand = commands.stream()
                .anyMatch(command -> command instanceof EntryCommand.PublishDemand publish
                        && publish.demand().get(0).queued() == 1);
        assertThat(publishesDemand).isTrue();
    }

    private List<EntryCommand> on(EntryEvent event) {
        return decider.on(event, nowMs);
    }

    private EntryEvent arrival(String id, long deadlineMs) {
        return new EntryEvent.RequestArrived(Requests.onQuote(id, nowMs, deadlineMs));
    }

    private static EntryCommand dispatch(String id) {
        return new EntryCommand.Dispatch(RequestId.of(id), AttemptId.of(id + ".1"), ENGINE);
    }

    private static InstanceId instanceOf(List<EntryCommand> commands) {
        for (EntryCommand command : commands) {
            if (command instanceof EntryCommand.Dispatch dispatch) {
                return dispatch.instance();
            }
        }
        throw new AssertionError("nothing was dispatched: " + commands);
    }

    private static ResultCode codeOf(List<EntryCommand> commands) {
        for (EntryCommand command : commands) {
            if (command instanceof EntryCommand.Refuse refuse) {
                return refuse.failure().code();
            }
        }
        throw new AssertionError("nothing was refused: " + commands);
    }
}
