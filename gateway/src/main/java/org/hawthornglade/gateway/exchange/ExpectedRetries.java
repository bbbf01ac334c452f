package org.hawthornglade.gateway.exchange;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.hawthornglade.core.dispatch.CallView;

/**
 * Tracks calls that were answered with a Retry-After time for their model.
 *
 * <p>Until that time they count as demand; otherwise the model would not be loaded for their retries.
 */
public final class ExpectedRetries {
    private static final int MAX_CALLS = 1_000;

    private record ExpectedRetry(CallView call, long untilMs) {}

    private final Deque<ExpectedRetry> calls = new ArrayDeque<>();

    /** Adds a call; the oldest is removed when there are too many. */
    public void add(CallView call, long untilMs) {
        calls.addLast(new ExpectedRetry(call, untilMs));
        if (calls.size() > MAX_CALLS) {
            calls.removeFirst();
        }
    }

    /** Returns the calls whose retries are still expected. */
    public List<CallView> pending(long nowMs) {
        calls.removeIf(call -> call.untilMs() < nowMs);
        List<CallView> expected = new ArrayList<>();
        calls.forEach(call -> expected.add(call.call()));
        return expected;
    }
}
