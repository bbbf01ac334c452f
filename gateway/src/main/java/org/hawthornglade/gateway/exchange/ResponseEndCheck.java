package org.hawthornglade.gateway.exchange;

import java.util.function.Consumer;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.gateway.loop.Timers;

/**
 * Tells whether a response that ended with its connection was cut off by the end of its instance.
 *
 * <p>A connection to the instance is opened: an instance that has crashed refuses it. So does one whose time has run
 * out, regardless of what it was running, and one that has stopped as planned, which has announced it and ends its work
 * before. Where it cannot be told, the response counts as complete.
 */
final class ResponseEndCheck {
    /** How long the end of a stream waits for an answer of the instance, in milliseconds. */
    private static final long STREAM_LIMIT_MS = 5;
    /** How long the end of another response waits for an answer of the instance, in milliseconds. */
    private static final long RESPONSE_LIMIT_MS = 50;
    /** The time in which a process that crashes closes all its sockets, its listener too, in milliseconds. */
    private static final long CRASH_MS = 20;

    private final ExchangeContext context;
    private final Endpoint endpoint;
    private final InstanceRecord chosen;
    private final Consumer<Boolean> crashed;
    private final long delayMs;
    private final long limitMs;
    private Timers.Timeout limit;
    private boolean done;

    private ResponseEndCheck(
            ExchangeContext context,
            Endpoint endpoint,
            InstanceRecord chosen,
            Consumer<Boolean> crashed,
            long delayMs,
            long limitMs) {
        this.context = context;
        this.endpoint = endpoint;
        this.chosen = chosen;
        this.crashed = crashed;
        this.delayMs = delayMs;
        this.limitMs = limitMs;
    }

    /**
     * Creates a check of a stream, whose caller gets the end within a few milliseconds.
     *
     * @param chosen the record by which the endpoint was chosen
     * @param crashed receives once whether the instance has crashed
     */
    static ResponseEndCheck ofStream(
            ExchangeContext context, Endpoint endpoint, InstanceRecord chosen, Consumer<Boolean> crashed) {
        return new ResponseEndCheck(context, endpoint, chosen, crashed, 0, STREAM_LIMIT_MS);
    }

    /**
     * Creates a check of a response that is no stream, which can wait until a process that crashes has ended.
     *
     * @param chosen the record by which the endpoint was chosen
     * @param crashed receives once whether the instance has crashed
     */
    static ResponseEndCheck ofResponse(
            ExchangeContext context, Endpoint endpoint, InstanceRecord chosen, Consumer<Boolean> crashed) {
        return new ResponseEndCheck(context, endpoint, chosen, crashed, CRASH_MS, RESPONSE_LIMIT_MS);
    }

    void start() {
        if (!expectedToAccept()) {
            crashed.accept(false);
            return;
        }
        if (delayMs > 0) {
            context.timers().after(delayMs, this::connect);
        } else {
            connect();
        }
    }

    private void connect() {
        context.connections().pool(chosen).checkAccepting(accepting -> end(!accepting && expectedToAccept()));
        // The connection is opened by a task of the event loop; the time that the loop takes until then does not count.
        context.timers().run(this::startLimit);
    }

    private void startLimit() {
        if (!done) {
            limit = context.timers().after(limitMs, () -> end(false));
        }
    }

    /** Returns whether the list has this start of the instance, which has not announced that it leaves. */
    private boolean expectedToAccept() {
        boolean current =
                context.fleet().endpoint(endpoint.id()).filter(endpoint::equals).isPresent();
        return current
                && context.fleet().listed(endpoint.id())
                && endpoint.record().bornMs() == chosen.bornMs()
                && !stopsAfterItsWork();
    }

    /** Returns whether the instance leaves at no set time, and so may close its listener after its last response. */
    private boolean stopsAfterItsWork() {
        return endpoint.leaving() && endpoint.record().remainingMs().isEmpty();
    }

    private void end(boolean hasCrashed) {
        if (done) {
            return;
        }
        done = true;
        if (limit != null) {
            limit.cancel();
        }
        if (hasCrashed) {
            context.metrics().count("unframed_responses_cut");
        }
        crashed.accept(hasCrashed);
    }
}
