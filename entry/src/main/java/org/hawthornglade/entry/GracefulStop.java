package org.hawthornglade.entry;

import com.google.common.flogger.FluentLogger;
import io.dropwizard.lifecycle.ServerLifecycleListener;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Server;

/**
 * Stops an entry on SIGTERM.
 *
 * <p>First its health check fails, then new requests are refused, then running requests finish, then the server ends.
 *
 * <p>It replaces the server's shutdown hook, which would abort requests in progress.
 */
public final class GracefulStop implements ServerLifecycleListener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final StopState state;
    private final EntryProcess process;
    private final InFlightFilter requests;
    private final long unhealthyMs;
    private final long timeoutMs;

    /**
     * Creates a listener that installs a shutdown hook once the server has started.
     *
     * @param unhealthyMs how long the health check fails before requests are refused, in milliseconds
     * @param timeoutMs how long to wait for requests in progress, in milliseconds
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
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        try {
            scheduler
                    .schedule(process::rejectNewRequests, unhealthyMs, TimeUnit.MILLISECONDS)
                    .get();
            int remaining = requests.awaitIdle(timeoutMs);
            if (remaining > 0) {
                process.recordStopTimeout(remaining);
            }
            server.stop();
        } catch (Exception e) {
            LOG.atSevere().withCause(e).log("event=stop_failed");
        } finally {
            scheduler.shutdownNow();
        }
    }
}
