package org.hawthornglade.gateway.http;

import io.netty.util.internal.PlatformDependent;

/** What the connections of all listeners of a process may hold together; used on the event loop only. */
public final class CallerResources {
    /** The share of the direct memory that responses may take which callers do not read. */
    private static final int UNREAD_MEMORY_DIVISOR = 8;
    /** The part of the connections that is for the readiness address, at most. */
    private static final int MAX_READINESS_CONNECTIONS = 64;

    private static final int READINESS_DIVISOR = 4;

    private final CallerLimits limits;
    private final CallerPressureListener listener;
    private final HeadBudget heads;

    /** Creates resources of which nothing is used. */
    public CallerResources(CallerLimits limits, CallerPressureListener listener) {
        this.limits = limits;
        this.listener = listener;
        this.heads = new HeadBudget(limits.headsBytes(), listener);
    }

    CallerLimits limits() {
        return limits;
    }

    CallerPressureListener listener() {
        return listener;
    }

    HeadBudget heads() {
        return heads;
    }

    /** Returns how many bytes of responses may be unread. */
    long maxUnreadBytes() {
        return PlatformDependent.maxDirectMemory() / UNREAD_MEMORY_DIVISOR;
    }

    /** Returns how many connections the listener for callers keeps open. */
    public int callerConnections() {
        return connections() - readinessConnections();
    }

    /** Returns how many connections the listener for readiness checks keeps open, which callers cannot take. */
    public int readinessConnections() {
        return Math.min(MAX_READINESS_CONNECTIONS, connections() / READINESS_DIVISOR);
    }

    private int connections() {
        return limits.maxConnections() > 0
                ? limits.maxConnections()
                : DescriptorLimit.callerConnections(limits.maxDescriptors());
    }

    /** Returns the estimated heap of the heads that are held now, in bytes. */
    public long headBytes() {
        return heads.totalBytes();
    }
}
