package org.hawthornglade.entry;

import com.google.common.flogger.FluentLogger;
import io.dropwizard.lifecycle.ServerLifecycleListener;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Server;

/**
 * Ends an entry on SIGTERM: unhealthy first, then no new requests, then the running ones to their end, then the server.
 *
 * <p>It takes the place of the server's own shutdown hook, which would cut requests in progress.
 */
public final class GracefulStop implements ServerLifecycleListener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final StopState state;
    private final EntryProcess process;
    private final InFlightFilter requests;
    private final long unhealthyMs;
    private final long timeoutMs;

    /**
     * Creates a stop that waits for the signal once the server has started.
     *
     * @param unhealthyMs how long the health check fails before requests are refused, in milliseconds
     * @param timeoutMs how long requests in progress may take, in milliseconds
     */
    public GracefulStop(
            StopState state, EntryProcess process, InFlightFilter requests, long unhealthyMs, long timeoutMs) {
        this.state = state;
        this.process = process;
        this.requests = requests;
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
        ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor();
        try {
            later.schedule(process::rejectNewRequests, unhealthyMs, TimeUnit.MILLISECONDS)
                    .get();
            int left = requests.awaitIdle(timeoutMs);
            if (left > 0) {
                process.recordStopTimeout(left);
            }
            server.stop();
        } catch (Exception e) {
            LOG.atSevere().withCause(e).log("event=stop_failed");
        } finally {
            later.shutdownNow();
        }
    }
}
