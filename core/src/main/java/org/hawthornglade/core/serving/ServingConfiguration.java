package org.hawthornglade.core.serving;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.team.TeamDirectory;

/** An immutable version of the routes, services, request limits and teams. */
public final class ServingConfiguration {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<ServiceName, ServiceDefinition> services;
    private final RequestLimits limits;
    private final TeamDirectory teams;

    /**
     * Creates a configuration without teams.
     *
     * @param version the version number, which rises with each change
     */
    public ServingConfiguration(
            long version, Collection<Route> routes, Collection<ServiceDefinition> services, RequestLimits limits) {
        this(version, routes, services, limits, TeamDirectory.NONE);
    }

    /**
     * Creates a configuration and indexes its routes by host.
     *
     * @param version the version number, which rises with each change
     */
    public ServingConfiguration(
            long version,
            Collection<Route> routes,
            Collection<ServiceDefinition> services,
            RequestLimits limits,
            TeamDirectory teams) {
        this.version = version;
        this.limits = limits;
        this.teams = teams;
        this.routesByHost = byHost(routes);
        this.services = services.stream().collect(ImmutableMap.toImmutableMap(ServiceDefinition::name, s -> s));
    }

    private static Map<String, List<Route>> byHost(Collection<Route> routes) {
        Map<String, List<Route>> byHost = new HashMap<>(routes.stream().collect(Collectors.groupingBy(Route::host)));
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        byHost.replaceAll((host, list) -> list.stream().sorted(longestFirst).toList());
        return byHost;
    }

    public long version() {
        return version;
    }

    /** Returns whether another configuration has the same routes, services, limits and teams. */
    boolean sameContent(ServingConfiguration other) {
        return routesByHost.equals(other.routesByHost)
                && services.equals(other.services)
                && limits.equals(other.limits)
                && teams.equals(other.teams);
    }

    public RequestLimits limits() {
        return limits;
    }

    /** Returns the teams and their keys; empty where no key is required. */
    public TeamDirectory teams() {
        return teams;
    }

    public Collection<ServiceDefinition> services() {
        return services.values();
    }

    /** Returns a service by name. */
    public Optional<ServiceDefinition> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the route with the longest matching path prefix.
     *
     * @param host the host as sent by the caller; its case and port are ignored
     * @param path the path without its query
     */
    public Optional<Route> route(String host, String path) {
        List<Route> candidates = routesByHost.getOrDefault(normalizedHost(host), List.of());
        for (Route route : candidates) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String normalizedHost(String host) {
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
