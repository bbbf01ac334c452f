package org.hawthornglade.core.agent;

import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;

/**
 * An order whose effect no report has shown yet.
 *
 * @param order the order
 * @param orderSequence its number at the engine; {@link #UNANSWERED} until the engine took it in
 * @param retryAtMs when it may be given again, in milliseconds
 * @param hasFailed whether it failed or was lost
 */
record OpenOrder(EngineOrder order, long orderSequence, long retryAtMs, boolean hasFailed) {
    private static final long UNANSWERED = Long.MAX_VALUE;
    private static final long ANSWER_TIMEOUT_MS = 30_000;

    static OpenOrder given(EngineOrder order, long nowMs) {
        return new OpenOrder(order, UNANSWERED, nowMs + ANSWER_TIMEOUT_MS, false);
    }

    static OpenOrder failed(EngineOrder order, long retryAtMs) {
        return new OpenOrder(order, UNANSWERED, retryAtMs, true);
    }

    OpenOrder taken(long sequence) {
        return new OpenOrder(order, sequence, retryAtMs, hasFailed);
    }

    boolean seenBy(EngineReport report) {
        return orderSequence <= report.orderSequence();
    }

    boolean expired(long nowMs) {
        return nowMs >= retryAtMs;
    }
}
