package org.hawthornglade.entry.control;

import org.hawthornglade.core.id.InstanceId;

/**
 * Where an agent is reached.
 *
 * @param instance its instance
 * @param host its IP number
 * @param httpPort the port for attempts
 * @param controlPort the port for control
 */
public record AgentAddress(InstanceId instance, String host, int httpPort, int controlPort) {}
