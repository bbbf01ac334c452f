package org.hawthornglade.entry;

import jakarta.servlet.Filter;
import jakarta.servlet.FilterChain;
import jakarta.servlet.ServletException;
import jakarta.servlet.ServletRequest;
import jakarta.servlet.ServletResponse;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Counts the HTTP requests in progress. */
public final class InFlightFilter implements Filter {
    private int inFlight;

    @Override
    public void doFilter(ServletRequest request, ServletResponse response, FilterChain chain)
            throws IOException, ServletException {
        change(1);
        try {
            chain.doFilter(request, response);
        } finally {
            change(-1);
        }
    }

    public synchronized int inFlight() {
        return inFlight;
    }

    /**
     * Waits until no request is in progress.
     *
     * @param timeoutMs the longest time to wait, in milliseconds
     * @return the number of requests still in progress
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public synchronized int awaitIdle(long timeoutMs) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        long remainingMs = timeoutMs;
        while (inFlight > 0 && remainingMs > 0) {
            wait(remainingMs);
            remainingMs = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
        }
        return inFlight;
    }

    private synchronized void change(int delta) {
        inFlight += delta;
        notifyAll();
    }
}
