package org.hawthornglade.core.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;

/**
 * The waiting calls of all services, in the order of each service and with counts for each service and model.
 *
 * <p>Calls are told apart by identity.
 *
 * @param <C> the type of calls
 */
public final class WaitingQueues<C> {
    private record Place(ServiceName service, Optional<ModelName> model, Urgency urgency) {}

    private static final class Queue<C> {
        private final WaitingOrder<C> all = new WaitingOrder<>();
        private final Map<Optional<ModelName>, WaitingOrder<C>> byModel = new HashMap<>();
    }

    private final Map<ServiceName, Queue<C>> queues = new LinkedHashMap<>();
    private final Map<ServiceName, StartShares> shares = new HashMap<>();
    private final IdentityHashMap<C, Place> places = new IdentityHashMap<>();

    private StartShares shares(ServiceName service) {
        return shares.computeIfAbsent(service, any -> new StartShares());
    }

    /** Records that a call has arrived, whether it is to wait or not. */
    public void onArrived(ServiceName service, int priority, long nowMs) {
        shares(service).onArrived(priority, nowMs);
    }

    /** Records that a call is sent for the first time. */
    public void onStarted(ServiceName service, int priority, long arrivedAtMs) {
        shares(service).onStarted(priority, arrivedAtMs);
    }

    /** Adds a call that is not there yet. */
    public void add(ServiceName service, Optional<ModelName> model, Urgency urgency, C call, long nowMs) {
        Queue<C> queue = queues.computeIfAbsent(service, any -> new Queue<>());
        queue.all.add(urgency, call, nowMs);
        queue.byModel.computeIfAbsent(model, any -> new WaitingOrder<>()).add(urgency, call, nowMs);
        places.put(call, new Place(service, model, urgency));
    }

    /** Removes a call, if it is there. */
    public void remove(C call) {
        Place place = places.remove(call);
        if (place == null) {
            return;
        }
        Queue<C> queue = queues.get(place.service());
        queue.all.remove(place.urgency());
        WaitingOrder<C> ofModel = queue.byModel.get(place.model());
        ofModel.remove(place.urgency());
        if (ofModel.isEmpty()) {
            queue.byModel.remove(place.model());
        }
        if (queue.all.isEmpty()) {
            queues.remove(place.service());
        }
    }

    /** Returns how many calls for the same service and model are expected to start before a call. */
    public int ahead(ServiceName service, Optional<ModelName> model, Urgency urgency, long nowMs) {
        return queue(service, model)
                .map(order -> order.ahead(urgency, shares(service), nowMs))
                .orElse(0);
    }

    private Optional<WaitingOrder<C>> queue(ServiceName service, Optional<ModelName> model) {
        return Optional.ofNullable(queues.get(service)).map(queue -> queue.byModel.get(model));
    }

    /** Returns whether a call waits for a service and model. */
    public boolean anyWaiting(ServiceName service, Optional<ModelName> model) {
        return queue(service, model).isPresent();
    }

    /**
     * Returns the calls that wait for a service and some of its models, in the order in which they are decided.
     *
     * @param startsPerMs the rate at which calls of the service are expected to start, 0 if unknown
     * @param models the models that count; receives an empty value for calls without a model
     */
    public List<C> order(ServiceName service, Predicate<Optional<ModelName>> models, double startsPerMs, long nowMs) {
        Queue<C> queue = queues.get(service);
        if (queue == null) {
            return List.of();
        }
        Set<Optional<ModelName>> waitedFor = queue.byModel.keySet();
        if (waitedFor.stream().noneMatch(models)) {
            return List.of();
        }
        List<C> ordered = new ArrayList<>(queue.all.order(startsPerMs, shares(service), nowMs));
        if (!waitedFor.stream().allMatch(models)) {
            ordered.removeIf(call -> !models.test(places.get(call).model()));
        }
        return ordered;
    }

    /** Returns the services for which calls wait. */
    public Set<ServiceName> services() {
        return Set.copyOf(queues.keySet());
    }

    /** Returns whether no call waits. */
    public boolean isEmpty() {
        return places.isEmpty();
    }
}
