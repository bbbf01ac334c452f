package org.hawthornglade.entry.control;

import org.hawthornglade.core.id.InstanceId;

/**
 * The network address of an agent.
 *
 * @param instance the instance that the agent runs on
 * @param host the IP address
 * @param httpPort the HTTP port for attempts
 * @param controlPort the port for control connections
 */
public record AgentAddress(InstanceId instance, String host, int httpPort, int controlPort) {}
