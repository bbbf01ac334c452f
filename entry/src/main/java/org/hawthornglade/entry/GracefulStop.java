package org.hawthornglade.entry;

import com.google.common.flogger.FluentLogger;
import io.dropwizard.lifecycle.ServerLifecycleListener;
import org.eclipse.jetty.server.Server;
import org.hawthornglade.core.time.Clock;

/**
 * Ends an entry on SIGTERM: unhealthy first, then no new requests, then the running ones to their end, then the server.
 *
 * <p>It takes the place of the server's own shutdown hook, which would cut requests in progress.
 */
public final class GracefulStop implements ServerLifecycleListener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long POLL_MS = 20;

    private final StopState state;
    private final EntryProcess process;
    private final InFlightFilter requests;
    private final Clock clock;
    private final long unhealthyMs;
    private final long timeoutMs;

    /**
     * Creates a stop that waits for the signal once the server has started.
     *
     * @param unhealthyMs how long the health check fails before requests are refused, in milliseconds
     * @param timeoutMs how long requests in progress may take, in milliseconds
     */
    public GracefulStop(
            StopState state,
            EntryProcess process,
            InFlightFilter requests,
            Clock clock,
            long unhealthyMs,
            long timeoutMs) {
        this.state = state;
        this.process = process;
        this.requests = requests;
        this.clock = clock;
        this.unhealthyMs = unhealthyMs;
        this.timeoutMs = timeoutMs;
    }

    @Override
    public void serverStarted(Server server) {
        server.setStopAtShutdown(false);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "graceful-stop"));
    }

    private void stop(Server server) {
        state.begin();
        try {
            Thread.sleep(unhealthyMs);
            process.refuseNew();
            awaitRequests(clock.nowMs() + timeoutMs);
            server.stop();
        } catch (Exception e) {
            LOG.atSevere().withCause(e).log("event=stop_failed");
        }
    }

    private void awaitRequests(long untilMs) throws InterruptedException {
        while (requests.inFlight() > 0) {
            if (clock.nowMs() >= untilMs) {
                process.stopTimeoutHit(requests.inFlight());
                return;
            }
            Thread.sleep(POLL_MS);
        }
    }
}
