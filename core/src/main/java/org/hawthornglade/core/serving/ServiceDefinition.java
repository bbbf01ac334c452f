package org.hawthornglade.core.serving;

import java.util.Optional;
import org.hawthornglade.core.id.ServiceName;

/**
 * A service behind the routes.
 *
 * @param name the service
 * @param maxConnections how many connections one instance accepts from all callers together
 * @param engine present where its instances are model engines
 */
public record ServiceDefinition(ServiceName name, int maxConnections, Optional<EngineDefinition> engine) {}
