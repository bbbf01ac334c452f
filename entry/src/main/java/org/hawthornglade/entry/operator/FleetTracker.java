package org.hawthornglade.entry.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceRole;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.core.placement.Availability;
import org.hawthornglade.core.placement.PlacementInstance;
import org.hawthornglade.core.plan.NodeVersion;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.ports.configuration.Fleet;

/**
 * Tracks the latest reports of the other processes to this entry.
 *
 * <p>Safe for use by several threads.
 */
public final class FleetTracker implements Fleet {
    private static final long UNKNOWN_VERSION = -1;

    private final InstanceId self;
    private final ConfigurationHolder holder;
    private final Map<InstanceId, AgentView> views = new ConcurrentHashMap<>();
    private final Map<InstanceId, Long> entryVersions = new ConcurrentHashMap<>();
    private volatile List<InstanceInfo> listed = List.of();

    /** Creates an empty tracker for the entry on an instance. */
    public FleetTracker(InstanceId self, ConfigurationHolder holder) {
        this.self = self;
        this.holder = holder;
    }

    /** Updates the tracker from an event of the entry's decider. */
    public void onEvent(EntryEvent event) {
        if (event instanceof EntryEvent.AgentReported reported) {
            views.put(reported.view().instance(), reported.view());
        } else if (event instanceof EntryEvent.AgentLost lost) {
            views.remove(lost.instance());
        } else if (event instanceof EntryEvent.InstancesListed list) {
            listed = List.copyOf(list.instances());
        }
    }

    /** Records another entry's configuration version; empty if the entry did not respond. */
    public void recordEntryVersion(InstanceId entry, Optional<Long> version) {
        entryVersions.put(entry, version.orElse(UNKNOWN_VERSION));
    }

    /** Returns the instance list as last read. */
    public List<InstanceInfo> listedInstances() {
        return listed;
    }

    /** Returns the listed entries that are not gone, except this one. */
    public List<InstanceInfo> otherEntries() {
        return listed.stream()
                .filter(info -> info.role() == InstanceRole.ENTRY && info.state() != InstanceState.GONE)
                .filter(info -> !info.id().equals(self))
                .toList();
    }

    /** Returns what the agent of an instance last reported; empty if there is no connection to it. */
    public Optional<AgentView> view(InstanceId instance) {
        return Optional.ofNullable(views.get(instance));
    }

    @Override
    public List<PlacementInstance> instances() {
        return listed.stream()
                .filter(info -> info.role() == InstanceRole.ENGINE)
                .map(info -> new PlacementInstance(
                        info.id(), info.failureDomain(), info.memoryMb(), info.accelerators(), availability(info)))
                .toList();
    }

    @Override
    public List<NodeVersion> nodes() {
        List<NodeVersion> nodes = new ArrayList<>();
        nodes.add(new NodeVersion(self.value(), holder.current().version()));
        for (InstanceInfo info : listed) {
            if (info.state() != InstanceState.GONE && !info.id().equals(self)) {
                nodes.add(new NodeVersion(info.id().value(), versionOf(info)));
            }
        }
        return nodes;
    }

    private long versionOf(InstanceInfo info) {
        if (info.role() == InstanceRole.ENTRY) {
            return entryVersions.getOrDefault(info.id(), UNKNOWN_VERSION);
        }
        return view(info.id()).map(AgentView::configVersion).orElse(UNKNOWN_VERSION);
    }

    private Availability availability(InstanceInfo info) {
        Optional<AgentView> view = view(info.id());
        if (info.state() == InstanceState.GONE) {
            return Availability.GONE;
        }
        if (info.state() == InstanceState.LEAVING
                || view.map(AgentView::draining).orElse(false)) {
            return Availability.LEAVING;
        }
        return view.isPresent() ? Availability.AVAILABLE : Availability.SILENT;
    }
}
