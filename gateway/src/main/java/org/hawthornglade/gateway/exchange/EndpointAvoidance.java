package org.hawthornglade.gateway.exchange;

import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.gateway.port.ResponseHead;

/** Keeps a call, and others like it, from an endpoint that did not run it. */
final class EndpointAvoidance {
    /** Time for which an endpoint that was too busy, or is changing its models, gets no calls for that model. */
    private static final long REJECTED_PAUSE_MS = 60;
    /** Time for which an endpoint that has not loaded the model gets no calls for it. */
    private static final long MISSING_MODEL_PAUSE_MS = 300;

    private final ExchangeContext context;
    private final CallView view;

    /** Creates the avoidance of one call. */
    EndpointAvoidance(ExchangeContext context, CallView view) {
        this.context = context;
        this.view = view;
    }

    /** Handles an instance that was not sent a stream, since it may have started again. */
    void onStartUnconfirmed(Endpoint endpoint, StartCheck.Result result) {
        view.tried().add(endpoint.id());
        context.metrics().count("starts_unconfirmed");
        boolean present =
                context.fleet().endpoint(endpoint.id()).filter(endpoint::equals).isPresent();
        if (present && result == StartCheck.Result.OTHER) {
            // Its next record brings it back; until then its software and its models are unknown.
            context.fleet().onMisdirected(endpoint.id());
        }
    }

    /** Handles an endpoint that has stated that it did not run the call. */
    void onRejected(Endpoint endpoint, ResponseHead head) {
        boolean otherInstance =
                head.instance().filter(named -> !named.equals(endpoint.id())).isPresent();
        if (otherInstance) {
            context.fleet().onMisdirected(endpoint.id());
            return;
        }
        if (view.demand().isEmpty()) {
            view.tried().add(endpoint.id());
            return;
        }
        ModelName model = view.demand().get().model();
        long pauseMs = head.misdirected() ? MISSING_MODEL_PAUSE_MS : REJECTED_PAUSE_MS;
        endpoint.excludeModel(model, context.clock().nowMs() + pauseMs);
    }
}
