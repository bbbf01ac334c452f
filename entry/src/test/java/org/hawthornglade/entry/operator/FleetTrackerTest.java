package org.hawthornglade.entry.operator;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceRole;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.core.placement.Availability;
import org.hawthornglade.core.plan.NodeVersion;
import org.hawthornglade.core.report.AgentView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FleetTrackerTest {
    static final InstanceId ENGINE = InstanceId.of("e1");
    private final FleetTracker fleet = new FleetTracker(InstanceId.of("entry-1"), new ConfigurationHolder());

    static InstanceInfo info(String id, InstanceRole role, InstanceState state) {
        return new InstanceInfo(
                InstanceId.of(id), role, null, FailureDomain.of("east"), "127.0.0.1", 1, 1, 1_000, 2, state);
    }

    static AgentView view(boolean draining) {
        return new AgentView(ENGINE, FailureDomain.of("east"), 1, 1, 4, draining, true, List.of(), 0, 1_000, null, 0);
    }

    @ParameterizedTest
    @CsvSource({
        "LIVE,no,SILENT",
        "LIVE,yes,AVAILABLE",
        "LIVE,draining,LEAVING",
        "LIVE,lost,SILENT",
        "LEAVING,no,LEAVING",
        "LEAVING,yes,LEAVING",
        "GONE,no,GONE",
        "GONE,yes,GONE"
    })
    void derivesTheAvailabilityOfAnInstance(InstanceState state, String report, Availability expected) {
        fleet.onEvent(new EntryEvent.InstancesListed(List.of(info("e1", InstanceRole.ENGINE, state))));
        if (!report.equals("no")) {
            fleet.onEvent(new EntryEvent.AgentReported(view(report.equals("draining"))));
        }
        if (report.equals("lost")) {
            fleet.onEvent(new EntryEvent.AgentLost(ENGINE));
        }
        assertThat(fleet.instances().get(0).availability()).isEqualTo(expected);
    }

    @Test
    void listsTheConfigurationVersionOfEveryProcess() {
        fleet.onEvent(new EntryEvent.InstancesListed(List.of(
                info("entry-1", InstanceRole.ENTRY, InstanceState.LIVE),
                info("entry-2", InstanceRole.ENTRY, InstanceState.LIVE),
                info("entry-3", InstanceRole.ENTRY, InstanceState.GONE),
                info("e1", InstanceRole.ENGINE, InstanceState.LIVE),
                info("s1", InstanceRole.SERVICE, InstanceState.LIVE))));
        fleet.onEvent(new EntryEvent.AgentReported(view(false)));
        fleet.recordEntryVersion(InstanceId.of("entry-2"), Optional.of(3L));

        assertThat(fleet.nodes())
                .containsExactly(
                        new NodeVersion("entry-1", 0),
                        new NodeVersion("entry-2", 3),
                        new NodeVersion("e1", 4),
                        new NodeVersion("s1", -1));
        assertThat(fleet.otherEntries().stream().map(entry -> entry.id().value()))
                .containsExactly("entry-2");
    }
}
