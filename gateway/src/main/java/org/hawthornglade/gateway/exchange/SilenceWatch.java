package org.hawthornglade.gateway.exchange;

import java.util.Optional;
import org.hawthornglade.core.fleet.Endpoint;

/**
 * Gives up an attempt whose endpoint is silent, if another endpoint can take the call.
 *
 * <p>Otherwise the attempt goes on: an endpoint that is silent may still answer. A stream that has begun would be
 * broken off if it could not go on elsewhere, so that the other endpoint must confirm its start first.
 */
final class SilenceWatch {
    private final ExchangeContext context;
    private final Exchange exchange;
    private final Endpoint endpoint;
    private final Runnable onGivenUp;
    private final SilenceLimit limit;
    /** Whether the endpoint has been silent for longer than the limit, and kept the call. */
    private boolean silent;

    /**
     * Creates a watch that is not started.
     *
     * @param endpoint the endpoint that has the call
     * @param onGivenUp called when the attempt is to be ended for another one
     */
    SilenceWatch(ExchangeContext context, Exchange exchange, Endpoint endpoint, Runnable onGivenUp) {
        this.context = context;
        this.exchange = exchange;
        this.endpoint = endpoint;
        this.onGivenUp = onGivenUp;
        this.limit = new SilenceLimit(context.timers(), exchange.view().route(), this::onSilence);
    }

    /** Starts when the request is sent. */
    void startBeforeResponse() {
        limit.startBeforeResponse();
    }

    /** Starts anew when events have arrived. */
    void startBetweenEvents() {
        limit.startBetweenEvents();
    }

    void cancel() {
        limit.cancel();
    }

    private void onSilence() {
        Optional<Endpoint> alternative = exchange.alternativeTo(endpoint);
        if (alternative.isEmpty()) {
            keep();
        } else if (exchange.view().streamVersion().isPresent()) {
            context.startCheck().check(alternative.get().record(), this::onStartChecked);
        } else {
            giveUp();
        }
    }

    private void onStartChecked(StartCheck.Result result) {
        if (!limit.exceeded()) {
            return;
        }
        boolean confirmed = result == StartCheck.Result.SAME;
        if (confirmed && exchange.alternativeTo(endpoint).isPresent()) {
            giveUp();
        } else {
            keep();
        }
    }

    private void keep() {
        if (!silent) {
            silent = true;
            endpoint.health().onResponseLost(context.clock().nowMs());
            log(false);
        }
        limit.startAgain();
    }

    private void giveUp() {
        log(true);
        onGivenUp.run();
    }

    private void log(boolean givenUp) {
        boolean begun = exchange.response().started();
        exchange.record().logSilence(context.log(), context.metrics(), limit.limitMs(), begun, givenUp);
    }
}
