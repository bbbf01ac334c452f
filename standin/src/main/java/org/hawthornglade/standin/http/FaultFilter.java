package org.hawthornglade.standin.http;

import jakarta.servlet.AsyncContext;
import jakarta.servlet.FilterChain;
import jakarta.servlet.ServletException;
import jakarta.servlet.http.HttpFilter;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.Set;
import org.hawthornglade.standin.fault.FaultDecision;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.time.Timers;

/** Applies the faults of a stand-in to its calls, except on the exempt routes for tests and observers. */
final class FaultFilter extends HttpFilter {
    private static final String DECISION = "org.hawthornglade.standin.decision";

    private final transient FaultInjector faults;
    private final transient Timers timers;
    private final Set<String> exemptPaths;

    FaultFilter(FaultInjector faults, Timers timers, Set<String> exemptPaths) {
        this.faults = faults;
        this.timers = timers;
        this.exemptPaths = exemptPaths;
    }

    @Override
    protected void doFilter(HttpServletRequest request, HttpServletResponse response, FilterChain chain)
            throws IOException, ServletException {
        if (isExempt(request)) {
            chain.doFilter(request, response);
            return;
        }
        if (request.getAttribute(DECISION) instanceof FaultDecision decision) {
            apply(decision, request, response, chain);
            return;
        }
        FaultDecision decision = faults.next(!"GET".equals(request.getMethod()));
        if (decision.delayMs() == 0) {
            apply(decision, request, response, chain);
            return;
        }
        request.setAttribute(DECISION, decision);
        AsyncContext delayed = request.startAsync();
        delayed.setTimeout(0);
        timers.after(decision.delayMs(), delayed::dispatch);
    }

    private boolean isExempt(HttpServletRequest request) {
        String path = request.getRequestURI();
        return exemptPaths.stream().anyMatch(exempt -> path.equals(exempt) || path.startsWith(exempt + "/"));
    }

    private static void apply(
            FaultDecision decision, HttpServletRequest request, HttpServletResponse response, FilterChain chain)
            throws IOException, ServletException {
        switch (decision.kind()) {
            case PASS -> chain.doFilter(request, response);
            case REFUSE -> refuse(decision, response);
            case LOSE_REPLY -> loseReply(request, response, chain);
            case FREEZE -> request.startAsync().setTimeout(0);
            default -> throw new IllegalStateException("unknown fault: " + decision.kind());
        }
    }

    private static void refuse(FaultDecision decision, HttpServletResponse response) throws IOException {
        Connections.setRetryAfter(response, decision.retryAfterMs());
        Connections.sendJson(response, decision.status(), "{\"error\":{\"message\":\"by the fault script\"}}");
    }

    private static void loseReply(HttpServletRequest request, HttpServletResponse response, FilterChain chain)
            throws IOException, ServletException {
        Connections.markReplyLost(request);
        chain.doFilter(request, new DiscardingResponse(response));
        if (!request.isAsyncStarted()) {
            Connections.abort(request);
        }
    }
}
