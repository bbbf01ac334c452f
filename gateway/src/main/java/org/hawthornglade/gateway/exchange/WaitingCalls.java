package org.hawthornglade.gateway.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.overload.Urgency;
import org.hawthornglade.core.overload.WaitingQueues;

/**
 * The calls that wait at this entry, in the order in which they are decided.
 *
 * <p>Calls with an urgency wait in the order of their service, all others by priority and arrival.
 */
public final class WaitingCalls {
    private static final Comparator<Exchange> HIGHEST_PRIORITY_FIRST = Comparator.comparingInt(
                    (Exchange exchange) -> exchange.view().priority())
            .thenComparingLong(Exchange::turnAtMs)
            .thenComparingLong(Exchange::number);

    private final TreeSet<Exchange> withoutUrgency = new TreeSet<>(HIGHEST_PRIORITY_FIRST);
    private final WaitingQueues<Exchange> queues = new WaitingQueues<>();
    private final ExpectedRetries expectedRetries = new ExpectedRetries();
    private OverloadControl overloadControl = new OverloadControl(false, () -> 1, new Fleet(), () -> 0);
    private boolean refusing;
    private Runnable demandListener = () -> {};

    /** Sets the listener that is called when a call begins to wait, or when the permit requests change. */
    public void onDemandChanged(Runnable action) {
        demandListener = action;
    }

    /** Sets how the starts of waiting calls are predicted; must be called before the first call. */
    public void setOverloadControl(OverloadControl control) {
        overloadControl = control;
    }

    OverloadControl overloadControl() {
        return overloadControl;
    }

    /** Returns how many waiting calls for the same service and model are expected to start before a call. */
    int ahead(CallView call, Urgency urgency) {
        return queues.ahead(call.service(), OverloadControl.model(call), urgency, overloadControl.nowMs());
    }

    /** Returns whether a call with an urgency waits for the service and model of a call. */
    boolean anyWaitingFor(CallView call) {
        return queues.anyWaiting(call.service(), OverloadControl.model(call));
    }

    /** Records the arrival of a call with an urgency. */
    void onArrived(CallView call) {
        queues.onArrived(call.service(), call.priority(), overloadControl.nowMs());
    }

    /** Records that a call with an urgency is sent for the first time. */
    void onStarted(CallView call) {
        queues.onStarted(call.service(), call.priority(), call.arrivedAtMs());
    }

    void addNew(Exchange exchange, Optional<Urgency> urgency) {
        add(exchange, urgency);
        demandListener.run();
    }

    /** Notifies the listener, which reports the changed permit requests to the leader. */
    void notifyDemandChanged() {
        demandListener.run();
    }

    void add(Exchange exchange, Optional<Urgency> urgency) {
        if (urgency.isEmpty()) {
            withoutUrgency.add(exchange);
            return;
        }
        CallView call = exchange.view();
        queues.add(call.service(), OverloadControl.model(call), urgency.get(), exchange, overloadControl.nowMs());
    }

    void remove(Exchange exchange) {
        withoutUrgency.remove(exchange);
        queues.remove(exchange);
    }

    /** Decides again on every call, after a change that may affect them. */
    public void reconsider() {
        all().forEach(Exchange::reconsider);
    }

    /** Decides again on the calls that could run at an endpoint where a call has ended. */
    void reconsiderAt(Endpoint endpoint) {
        reconsiderWithoutUrgency();
        ServiceName service = endpoint.record().service();
        ordered(
                        service,
                        model -> model.map(name -> endpoint.replica(name).isPresent())
                                .orElse(true))
                .forEach(Exchange::reconsider);
    }

    /** Decides again on the calls for the service and model of a call that has ended without being sent. */
    void reconsiderBehind(CallView call) {
        reconsiderWithoutUrgency();
        Optional<ModelName> ofCall = OverloadControl.model(call);
        ordered(call.service(), ofCall::equals).forEach(Exchange::reconsider);
    }

    /** Decides again on the calls without an urgency. */
    void reconsiderWithoutUrgency() {
        new ArrayList<>(withoutUrgency).forEach(Exchange::reconsider);
    }

    private List<Exchange> ordered(ServiceName service, Predicate<Optional<ModelName>> models) {
        return queues.order(service, models, overloadControl.startsPerMs(service), overloadControl.nowMs());
    }

    /** Refuses all waiting calls and, from now on, all new calls, as late in a stop. */
    public void refuseAll() {
        refusing = true;
        all().forEach(Exchange::refuseAtStop);
    }

    boolean refusing() {
        return refusing;
    }

    /** Returns the calls that were answered with Retry-After. */
    public ExpectedRetries expectedRetries() {
        return expectedRetries;
    }

    /** Returns the calls that wait now; those of a service are in their order. */
    public Collection<Exchange> all() {
        List<Exchange> all = new ArrayList<>(withoutUrgency);
        queues.services().forEach(service -> all.addAll(ordered(service, model -> true)));
        return all;
    }

    /** Returns whether no call waits. */
    public boolean isEmpty() {
        return withoutUrgency.isEmpty() && queues.isEmpty();
    }
}
