package org.hawthornglade.entry.operator;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.event.TimelineEvent;
import org.hawthornglade.core.event.TimelineFilter;
import org.hawthornglade.core.event.TimelineMerge;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceRole;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.entry.control.AgentLinks;
import org.hawthornglade.node.wire.WireMapper;
import org.hawthornglade.protocol.gen.Event;

/** Collects the timelines of this entry, the other entries and all agents. */
public final class TimelineCollector {
    private static final TypeReference<List<TimelineEvent>> EVENTS = new TypeReference<>() {};

    private final Timeline localTimeline;
    private final AgentLinks links;
    private final FleetTracker fleet;
    private final PeerEntryClient peers;

    /** Creates a collector. */
    public TimelineCollector(Timeline localTimeline, AgentLinks links, FleetTracker fleet, PeerEntryClient peers) {
        this.localTimeline = localTimeline;
        this.links = links;
        this.fleet = fleet;
        this.peers = peers;
    }

    /** Returns this entry's events only. */
    public List<TimelineEvent> local() {
        return localTimeline.after(0, Integer.MAX_VALUE);
    }

    /**
     * Returns the merged events of all processes.
     *
     * @param filter selects the events
     * @param limit the maximum number of events; the latest are kept
     * @param authorization the operator's credential, used to query other entries
     */
    public MergedTimeline collect(TimelineFilter filter, int limit, String authorization) {
        List<TimelineEvent> all = new ArrayList<>(local());
        List<String> missing = new ArrayList<>(unreachableAgents());
        for (Event event : links.fetchTimelines()) {
            addIfKnownKind(event, all);
        }
        for (InstanceInfo entry : fleet.otherEntries()) {
            Optional<List<TimelineEvent>> events = peers.fetch(entry, "/operator/node/timeline", authorization, EVENTS);
            events.ifPresentOrElse(all::addAll, () -> missing.add(entry.id().value()));
        }
        return new MergedTimeline(TimelineMerge.merge(all, filter, limit), missing);
    }

    private List<String> unreachableAgents() {
        return fleet.listedInstances().stream()
                .filter(info -> info.role() != InstanceRole.ENTRY && info.state() != InstanceState.GONE)
                .filter(info -> fleet.view(info.id()).isEmpty())
                .map(info -> info.id().value())
                .toList();
    }

    private static void addIfKnownKind(Event event, List<TimelineEvent> events) {
        try {
            events.add(WireMapper.fromWire(event));
        } catch (IllegalArgumentException e) {
            // An event kind of a newer release, which this release cannot interpret.
            return;
        }
    }
}
