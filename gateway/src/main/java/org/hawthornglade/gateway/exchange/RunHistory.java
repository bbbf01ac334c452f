package org.hawthornglade.gateway.exchange;

import java.util.Optional;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.fleet.Endpoint;

/** The attempts of one call so far, and whether another one is allowed. */
final class RunHistory {
    /** A call is refused after this many attempts that ended without running it. */
    private static final int MAX_REJECTIONS = 6;

    private final ExchangeContext context;
    private final CallView view;
    private int runs;
    private int rejections;
    private boolean reached;

    RunHistory(ExchangeContext context, CallView view) {
        this.context = context;
        this.view = view;
    }

    /** Records an attempt that has run, or may have. */
    void onRun() {
        runs++;
    }

    /** Records that an endpoint has received the call. */
    void onReached() {
        reached = true;
    }

    /** Records an attempt that did not run; returns whether another one is allowed. */
    boolean onNotRun() {
        rejections++;
        return rejections < MAX_REJECTIONS;
    }

    /** Returns whether the call has run, or may have. */
    boolean hasRun() {
        return runs > 0;
    }

    /** Returns whether an endpoint has received the call, whether or not it ran. */
    boolean hasReached() {
        return reached || hasRun();
    }

    /** Returns whether the call may run once more, and charges the retry to the budget. */
    boolean tryAcquireRetry() {
        return allowsRunsAfter(runs)
                && context.retryBudgets().of(view.service()).tryRetry();
    }

    /** Returns the endpoint at which the call could run now in place of another, without charging the budget. */
    Optional<Endpoint> alternativeTo(Endpoint current) {
        boolean allowed = allowsRunsAfter(runs + 1)
                && context.retryBudgets().of(view.service()).allowsRetry();
        return allowed
                ? context.dispatcher()
                        .alternative(view, current.id(), context.clock().nowMs())
                : Optional.empty();
    }

    private boolean allowsRunsAfter(int count) {
        return view.route().repeatable()
                && count < view.route().maxAttempts()
                && !context.quarantine().suspected(view);
    }
}
