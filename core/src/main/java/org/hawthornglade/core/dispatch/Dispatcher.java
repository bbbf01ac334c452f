package org.hawthornglade.core.dispatch;

import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.serving.CallKind;

/** Decides for each call whether it is sent, waits or is refused. */
public final class Dispatcher {
    /** Minimum remaining time in which a call can still be answered. */
    private static final long MIN_SERVICE_MS = 20;
    /** Retry-after time while a service has no instance. */
    private static final long NO_ENDPOINT_RETRY_MS = 1_000;
    /** Retry-after time of calls that expired in the queue. */
    private static final long EXPIRED_RETRY_MS = 500;

    private final Fleet fleet;
    private final EndpointSelector plainSelector;
    private final EndpointSelector generationSelector;
    private final CallScreen screen;
    private final StreamGate streamGate;

    /** Creates a dispatcher that screens no calls and keeps no streams back. */
    public Dispatcher(Fleet fleet, EndpointSelector plainSelector, EndpointSelector generationSelector) {
        this(fleet, plainSelector, generationSelector, CallScreen.NONE);
    }

    /** Creates a dispatcher that keeps no streams back. */
    public Dispatcher(
            Fleet fleet, EndpointSelector plainSelector, EndpointSelector generationSelector, CallScreen screen) {
        this(fleet, plainSelector, generationSelector, screen, StreamGate.OPEN);
    }

    /**
     * Creates a dispatcher.
     *
     * @param plainSelector selects endpoints of services without models
     * @param generationSelector selects model engines
     * @param screen refuses calls before an endpoint is selected
     * @param streamGate keeps streams from versions that are not listed yet
     */
    public Dispatcher(
            Fleet fleet,
            EndpointSelector plainSelector,
            EndpointSelector generationSelector,
            CallScreen screen,
            StreamGate streamGate) {
        this.fleet = fleet;
        this.plainSelector = plainSelector;
        this.generationSelector = generationSelector;
        this.screen = screen;
        this.streamGate = streamGate;
    }

    /** Decides the next step of a call. */
    public Decision decide(CallView call, long nowMs) {
        if (call.abandonAtMs() - nowMs < MIN_SERVICE_MS) {
            return new Decision.Refuse(ResultCode.DEADLINE_PASSED_WAITING, EXPIRED_RETRY_MS);
        }
        Optional<Decision.Refuse> refusal = screen.screen(call, nowMs);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        List<Endpoint> usable = fleet.usable(call.service());
        if (usable.isEmpty()) {
            return new Decision.Refuse(ResultCode.NO_ENDPOINT, NO_ENDPOINT_RETRY_MS);
        }
        List<Endpoint> compatible = compatible(call, usable);
        if (compatible.isEmpty()) {
            return new Decision.Refuse(ResultCode.STREAM_VERSION_GONE, 0);
        }
        List<Endpoint> open = open(call, compatible);
        if (open.isEmpty()) {
            return new Decision.Wait("version-listing");
        }
        return selector(call).select(call, open, nowMs);
    }

    /**
     * Returns the endpoint to which a call that is at another one could be sent now.
     *
     * @param current the instance that has the call
     * @return empty if no endpoint where the call was not tried, and which is not in backoff, could start it now
     */
    public Optional<Endpoint> alternative(CallView call, InstanceId current, long nowMs) {
        List<Endpoint> untried = fleet.usable(call.service()).stream()
                .filter(endpoint -> !endpoint.id().equals(current))
                .filter(endpoint -> !call.tried().contains(endpoint.id()))
                .filter(endpoint -> !endpoint.health().inBackoff(nowMs))
                .toList();
        List<Endpoint> open = open(call, compatible(call, untried));
        if (open.isEmpty()) {
            return Optional.empty();
        }
        return selector(call).select(call, open, nowMs) instanceof Decision.Send send
                ? Optional.of(send.endpoint())
                : Optional.empty();
    }

    private EndpointSelector selector(CallView call) {
        return call.demand().isPresent() ? generationSelector : plainSelector;
    }

    private static List<Endpoint> compatible(CallView call, List<Endpoint> endpoints) {
        if (call.streamVersion().isEmpty()) {
            return endpoints;
        }
        return endpoints.stream()
                .filter(endpoint -> call.mayRunAt(endpoint.record().softwareVersion()))
                .toList();
    }

    private List<Endpoint> open(CallView call, List<Endpoint> endpoints) {
        return call.route().kind() != CallKind.STREAM
                ? endpoints
                : endpoints.stream()
                        .filter(endpoint -> streamGate.listed(
                                call.service(), endpoint.record().softwareVersion()))
                        .toList();
    }
}
