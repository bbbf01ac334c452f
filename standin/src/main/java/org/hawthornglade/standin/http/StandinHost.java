package org.hawthornglade.standin.http;

import jakarta.servlet.http.HttpServlet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.standin.fault.FaultInjector;

/**
 * The configuration of one stand-in on the server.
 *
 * @param name the unique name of the stand-in
 * @param port the port to listen on; 0 selects a free one
 * @param faults decides which faults apply to its calls
 * @param resources its Jersey resources
 * @param servlets the servlets for paths that Jersey does not serve
 * @param exemptPaths the paths without faults, including all paths below them
 */
public record StandinHost(
        String name,
        int port,
        FaultInjector faults,
        List<Object> resources,
        Map<String, HttpServlet> servlets,
        Set<String> exemptPaths) {}
