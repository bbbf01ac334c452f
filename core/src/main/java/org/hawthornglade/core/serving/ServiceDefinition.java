package org.hawthornglade.core.serving;

import java.util.Optional;
import org.hawthornglade.core.id.ServiceName;

/**
 * A service to which routes lead.
 *
 * @param name the service
 * @param maxConnections the maximum number of connections that one instance accepts from all callers together
 * @param engine the engine definition; empty if its instances are not model engines
 */
public record ServiceDefinition(ServiceName name, int maxConnections, Optional<EngineDefinition> engine) {}
