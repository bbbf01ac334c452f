package org.hawthornglade.agent;

import static com.google.common.truth.Truth.assertThat;

import org.hawthornglade.agent.attempt.AttemptRegistry;
import org.hawthornglade.agent.control.ViewPublisher;
import org.hawthornglade.core.agent.AgentCommand;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.time.ManualClock;
import org.junit.jupiter.api.Test;

final class AgentCommandRunnerTest {
    private final Timeline timeline = new Timeline("agent", 10, new ManualClock(1), event -> {});
    private final AgentCommandRunner runner = new AgentCommandRunner(
            InstanceId.of("engine-1"),
            new AttemptRegistry(event -> {}),
            new ViewPublisher(),
            timeline,
            order -> {},
            row -> {},
            () -> {},
            () -> {},
            inTime -> {});

    /** An operator who filters the timeline by instance must find its loads and unloads. */
    @Test
    void assignsTheAgentsInstanceToEventsWithoutOne() {
        runner.accept(new AgentCommand.RecordEvent(EventDraft.of(EventKind.LOAD_DECIDED)));
        runner.accept(
                new AgentCommand.RecordEvent(EventDraft.of(EventKind.PEER_LOST).instance("entry-1")));

        assertThat(timeline.after(0, 10).get(0).instance()).isEqualTo("engine-1");
        assertThat(timeline.after(0, 10).get(1).instance()).isEqualTo("entry-1");
    }
}
