package org.hawthornglade.standin;

import java.net.URI;
import org.hawthornglade.ports.http.PlatformHttpClient;
import org.hawthornglade.ports.http.PlatformHttpSettings;
import org.hawthornglade.standin.time.SystemTimers;
import org.hawthornglade.standin.time.Timers;

/** Provides one stand-in named "it" over HTTP, and a client for it. */
public final class HttpFixture implements AutoCloseable {
    /** The name of the stand-in. */
    public static final String NAME = "it";

    private static final int CONNECT_TIMEOUT_MS = 5_000;
    private static final int MAX_CONNECTIONS = 64;

    private final Standins standins;
    private final PlatformHttpClient http;

    /** Starts the stand-in with the system clock. */
    public HttpFixture(StandinSettings settings, int timeoutMs) {
        this(StandinsSettings.of(settings), new SystemTimers(), timeoutMs);
    }

    /** Starts stand-ins with the given timers. */
    public HttpFixture(StandinsSettings settings, Timers timers, int timeoutMs) {
        this.standins = Standins.start(settings, timers);
        this.http = new PlatformHttpClient(
                new PlatformHttpSettings(CONNECT_TIMEOUT_MS, timeoutMs, CONNECT_TIMEOUT_MS, MAX_CONNECTIONS));
    }

    public Standins standins() {
        return standins;
    }

    public URI uri() {
        return standins.uri(NAME);
    }

    public PlatformHttpClient http() {
        return http;
    }

    @Override
    public void close() {
        http.close();
        standins.close();
    }
}
