package org.hawthornglade.agent.control;

import org.hawthornglade.agent.attempt.AttemptRegistry;
import org.hawthornglade.core.agent.AgentEvent;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.node.auth.ClusterKeys;
import org.hawthornglade.node.loop.EventQueue;

/**
 * Holds the objects that all control sessions of an agent share.
 *
 * @param instance the agent's instance
 * @param keys the cluster keys
 * @param events the queue of the agent's decision loop
 * @param views publishes the agent's state
 * @param attempts the attempts, which sessions cancel
 * @param configuration the configuration in force
 * @param timeline the agent's timeline
 */
public record ControlContext(
        InstanceId instance,
        ClusterKeys keys,
        EventQueue<AgentEvent> events,
        ViewPublisher views,
        AttemptRegistry attempts,
        ConfigurationHolder configuration,
        Timeline timeline) {}
