package org.hawthornglade.gateway.exchange;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.hawthornglade.core.dispatch.CallView;

/**
 * The calls that were told when to come back for their model.
 *
 * <p>Until then they count as demand: otherwise nobody would load the model for which they come back.
 */
public final class ExpectedRetries {
    private static final int MAX_CALLS = 1_000;

    private record ExpectedRetry(CallView call, long untilMs) {}

    private final Deque<ExpectedRetry> calls = new ArrayDeque<>();

    /** Takes note of a call; the oldest is forgotten when there are too many. */
    public void add(CallView call, long untilMs) {
        calls.addLast(new ExpectedRetry(call, untilMs));
        if (calls.size() > MAX_CALLS) {
            calls.removeFirst();
        }
    }

    /** Returns the calls that are still expected back. */
    public List<CallView> pending(long nowMs) {
        calls.removeIf(call -> call.untilMs() < nowMs);
        List<CallView> expected = new ArrayList<>();
        calls.forEach(call -> expected.add(call.call()));
        return expected;
    }
}
