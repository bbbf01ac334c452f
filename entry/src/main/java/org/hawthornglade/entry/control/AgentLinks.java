package org.hawthornglade.entry.control;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceRole;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.core.report.ModelDemand;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.protocol.gen.CancelOutcome;
import org.hawthornglade.protocol.gen.Event;

/**
 * Keeps a link to each agent in the instance list.
 *
 * <p>Safe for use by several threads.
 */
public final class AgentLinks implements AutoCloseable {
    /** How long a request waits for an agent's confirmation of a cancel, in milliseconds. */
    public static final long CANCEL_TIMEOUT_MS = 400;

    private static final int MAX_EVENTS = 10_000;

    private final LinkContext context;
    private final Map<InstanceId, AgentLink> links = new ConcurrentHashMap<>();

    /** Creates an empty set of links. */
    public AgentLinks(LinkContext context) {
        this.context = context;
    }

    /** Applies a new instance list: opens links to new agents and closes those to instances that are gone. */
    public synchronized void updateInstances(List<InstanceInfo> instances) {
        Map<InstanceId, AgentAddress> addresses = new HashMap<>();
        for (InstanceInfo info : instances) {
            if (info.role() != InstanceRole.ENTRY && info.state() != InstanceState.GONE) {
                addresses.put(info.id(), new AgentAddress(info.id(), info.host(), info.httpPort(), info.controlPort()));
            }
        }
        for (AgentLink link : new ArrayList<>(links.values())) {
            if (!link.address().equals(addresses.get(link.address().instance()))) {
                links.remove(link.address().instance());
                link.close();
            }
        }
        addresses.values().forEach(address -> links.computeIfAbsent(address.instance(), id -> open(address)));
        context.events().accept(new EntryEvent.InstancesListed(instances));
    }

    /** Sets the demand that is reported to all agents. */
    public void updateDemand(List<ModelDemand> demand) {
        links.values().forEach(link -> link.updateDemand(demand));
    }

    /** Returns the address of an instance's agent; empty if the agent is not known. */
    public Optional<AgentAddress> address(InstanceId instance) {
        return Optional.ofNullable(links.get(instance)).map(AgentLink::address);
    }

    /**
     * Cancels an attempt; waits at most {@link #CANCEL_TIMEOUT_MS} for the agent's confirmation.
     *
     * @return left if the agent did not confirm in time, in which case the state of the attempt is not known
     */
    public Either<Failure, CancelOutcome> cancel(InstanceId instance, AttemptId attempt) {
        AgentLink link = links.get(instance);
        if (link == null) {
            return Either.left(unknownInstance(instance));
        }
        return link.cancel(attempt, CANCEL_TIMEOUT_MS);
    }

    /** Cancels an attempt without waiting for the agent's confirmation. */
    public void abandon(InstanceId instance, AttemptId attempt) {
        AgentLink link = links.get(instance);
        if (link != null) {
            link.abandon(attempt);
        }
    }

    /** Makes an instance accept no new work. */
    public Either<Failure, Boolean> drain(InstanceId instance, String reason) {
        // This entry stops dispatching to the instance from now on, even if the reply is lost.
        context.events().accept(new EntryEvent.InstanceDraining(instance));
        return call(instance, client -> {
            client.drain(reason);
            return true;
        });
    }

    /** Fetches the timelines of all agents; agents that do not respond are omitted. */
    public List<Event> fetchTimelines() {
        List<Event> events = new ArrayList<>();
        for (AgentLink link : links.values()) {
            link.call(client -> client.timeline(0, MAX_EVENTS)).peek(events::addAll);
        }
        return events;
    }

    @Override
    public synchronized void close() {
        links.values().forEach(AgentLink::close);
        links.clear();
    }

    private AgentLink open(AgentAddress address) {
        AgentLink link = new AgentLink(address, context);
        link.start();
        return link;
    }

    private <T> Either<Failure, T> call(InstanceId instance, CommandChannel.Command<T> command) {
        AgentLink link = links.get(instance);
        if (link == null) {
            return Either.left(unknownInstance(instance));
        }
        return link.call(command);
    }

    private static Failure unknownInstance(InstanceId instance) {
        return Failure.of(ResultCode.UNKNOWN_INSTANCE, "no agent of instance " + instance);
    }
}
