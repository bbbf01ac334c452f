package org.hawthornglade.standin.http;

import jakarta.servlet.http.HttpServlet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.standin.fault.FaultInjector;

/**
 * What one stand-in shows on its port.
 *
 * @param name tells it apart
 * @param port where it listens; 0 picks a free one
 * @param faults decides which faults its calls meet
 * @param resources its Jersey resources
 * @param servlets what Jersey does not serve, by path
 * @param exemptPaths the paths that meet no faults, with all below them
 */
public record StandinHost(
        String name,
        int port,
        FaultInjector faults,
        List<Object> resources,
        Map<String, HttpServlet> servlets,
        Set<String> exemptPaths) {}
