package org.hawthornglade.gateway.exchange;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Decision;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.dispatch.SlotSupply;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.overload.ServiceTime;
import org.hawthornglade.core.overload.ServiceTimes;
import org.hawthornglade.core.overload.StartPrediction;
import org.hawthornglade.core.overload.Urgency;
import org.hawthornglade.core.time.Clock;

/** Predicts when the calls that wait for room at an endpoint start, from the calls of this entry. */
public final class OverloadControl {
    private final boolean always;
    private final IntSupplier entries;
    private final Fleet fleet;
    private final Clock clock;
    private final ServiceTimes times = new ServiceTimes();
    private final Set<ServiceName> statedServices = new HashSet<>();

    /**
     * Creates a control.
     *
     * @param always whether starts are predicted for all calls; otherwise only where teams are configured or a server
     *     of the service states its slowdown
     * @param entries returns the number of entries
     */
    public OverloadControl(boolean always, IntSupplier entries, Fleet fleet, Clock clock) {
        this.entries = entries;
        this.always = always;
        this.fleet = fleet;
        this.clock = clock;
    }

    /** Returns whether the starts of such a call are predicted, and it waits in the order of its urgency. */
    boolean appliesTo(CallView call) {
        return always || call.caller().teamsConfigured() || statesSlowdown(call.service());
    }

    private boolean statesSlowdown(ServiceName service) {
        if (statedServices.contains(service)) {
            return true;
        }
        boolean stated = fleet.usable(service).stream()
                .anyMatch(endpoint -> endpoint.pace().stated().ever());
        if (stated) {
            statedServices.add(service);
        }
        return stated;
    }

    long nowMs() {
        return clock.nowMs();
    }

    /** Records how long a completed call took at its endpoint, in milliseconds. */
    void onCompleted(CallView call, long firstMs, long totalMs, long nowMs) {
        times.onCompleted(call.service(), model(call), firstMs, totalMs, nowMs);
    }

    /**
     * Returns by when a call must start.
     *
     * @param yieldsUntilMs until when it goes after others, since its caller came back too early; 0 if it does not
     * @param number the number of the call, in the order of arrival
     */
    Urgency urgency(CallView call, long yieldsUntilMs, long number) {
        double firstMs = times.of(call.service(), model(call), clock.nowMs())
                .map(ServiceTime::firstMs)
                .orElse(0.0);
        long targetAtMs = call.arrivedAtMs() + call.route().targetMs();
        return Urgency.of(call.priority(), targetAtMs, call.abandonAtMs(), firstMs, yieldsUntilMs, number);
    }

    /** Returns the rate at which calls of this entry are expected to start at a service; 0 if unknown. */
    double startsPerMs(ServiceName service) {
        long nowMs = clock.nowMs();
        Optional<ServiceTime> time = times.of(service, Optional.empty(), nowMs);
        if (time.isEmpty()) {
            return 0;
        }
        int own = 0;
        int all = 0;
        for (Endpoint endpoint : fleet.usable(service)) {
            own += endpoint.load().ownRequests();
            all += endpoint.load().requests(nowMs);
        }
        return StartPrediction.startsPerMs(own, all, entries.getAsInt(), time.get());
    }

    /**
     * Predicts the start of a call.
     *
     * @param urgency by when it must start; empty if no start is to be predicted for it
     * @return empty if the call waits for something else than room, or if too little is known
     */
    Optional<StartPrediction> predict(
            CallView call, Optional<Urgency> urgency, Decision.Wait wait, WaitingCalls waitingCalls, long nowMs) {
        if (!wait.forRoom() || urgency.isEmpty()) {
            return Optional.empty();
        }
        return times.of(call.service(), model(call), nowMs)
                .map(time -> StartPrediction.of(
                        waitingCalls.ahead(call, urgency.get()),
                        SlotSupply.of(call, fleet.usable(call.service()), nowMs),
                        entries.getAsInt(),
                        time,
                        nowMs));
    }

    static Optional<ModelName> model(CallView call) {
        return call.demand().map(ModelDemand::model);
    }
}
