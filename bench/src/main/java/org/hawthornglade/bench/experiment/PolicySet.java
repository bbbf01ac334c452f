package org.hawthornglade.bench.experiment;

import java.util.function.Function;
import java.util.function.Supplier;
import org.hawthornglade.core.admission.AdmissionQueue;
import org.hawthornglade.core.admission.AdmissionWeights;
import org.hawthornglade.core.idle.IdlePolicy;
import org.hawthornglade.core.load.EvictionPolicy;
import org.hawthornglade.core.load.LoadConcurrency;
import org.hawthornglade.core.load.LoadOrder;
import org.hawthornglade.core.load.ReplicaLoadRule;
import org.hawthornglade.core.load.ReplicaPlacement;
import org.hawthornglade.core.routing.EndpointChooser;

/** A set with one policy for each decision; sets that differ in one of them are copies. */
final class PolicySet {
    private final String name;
    private Function<AdmissionWeights, AdmissionQueue> admission;
    private Supplier<LoadOrder> order;
    private Supplier<LoadConcurrency> concurrency;
    private Supplier<LoadConcurrency> adapterConcurrency;
    private Supplier<EvictionPolicy> eviction;
    private Supplier<ReplicaLoadRule> loadRule;
    private Supplier<IdlePolicy> idle;
    private Supplier<EndpointChooser> chooser;
    private ReplicaPlacement placement;
    private boolean retryBudget;

    /**
     * Creates a set.
     *
     * @param name the name in results
     * @param admission creates an entry's queues
     * @param order creates an agent's load order
     * @param concurrency creates an agent's limit of concurrent loads from the weight store
     * @param adapterConcurrency creates an agent's limit of concurrent adapter loads
     * @param eviction creates an agent's eviction policy
     * @param loadRule creates an agent's rule for loading additional replicas
     * @param idle creates an agent's idle policy
     * @param chooser creates an entry's endpoint chooser
     * @param placement assigns replicas to instances
     * @param retryBudget whether retries are limited to a share of the traffic instead of a fixed count
     */
    PolicySet(
            String name,
            Function<AdmissionWeights, AdmissionQueue> admission,
            Supplier<LoadOrder> order,
            Supplier<LoadConcurrency> concurrency,
            Supplier<LoadConcurrency> adapterConcurrency,
            Supplier<EvictionPolicy> eviction,
            Supplier<ReplicaLoadRule> loadRule,
            Supplier<IdlePolicy> idle,
            Supplier<EndpointChooser> chooser,
            ReplicaPlacement placement,
            boolean retryBudget) {
        this.name = name;
        this.admission = admission;
        this.order = order;
        this.concurrency = concurrency;
        this.adapterConcurrency = adapterConcurrency;
        this.eviction = eviction;
        this.loadRule = loadRule;
        this.idle = idle;
        this.chooser = chooser;
        this.placement = placement;
        this.retryBudget = retryBudget;
    }

    private PolicySet copy(String newName) {
        return new PolicySet(
                newName,
                admission,
                order,
                concurrency,
                adapterConcurrency,
                eviction,
                loadRule,
                idle,
                chooser,
                placement,
                retryBudget);
    }

    String name() {
        return name;
    }

    Function<AdmissionWeights, AdmissionQueue> admission() {
        return admission;
    }

    Supplier<LoadOrder> order() {
        return order;
    }

    Supplier<LoadConcurrency> concurrency() {
        return concurrency;
    }

    Supplier<LoadConcurrency> adapterConcurrency() {
        return adapterConcurrency;
    }

    Supplier<EvictionPolicy> eviction() {
        return eviction;
    }

    Supplier<ReplicaLoadRule> loadRule() {
        return loadRule;
    }

    Supplier<IdlePolicy> idle() {
        return idle;
    }

    Supplier<EndpointChooser> chooser() {
        return chooser;
    }

    ReplicaPlacement placement() {
        return placement;
    }

    boolean retryBudget() {
        return retryBudget;
    }

    PolicySet withAdmission(String newName, Function<AdmissionWeights, AdmissionQueue> other) {
        PolicySet copy = copy(newName);
        copy.admission = other;
        return copy;
    }

    PolicySet withOrder(String newName, Supplier<LoadOrder> other) {
        PolicySet copy = copy(newName);
        copy.order = other;
        return copy;
    }

    PolicySet withConcurrency(String newName, Supplier<LoadConcurrency> other) {
        PolicySet copy = copy(newName);
        copy.concurrency = other;
        return copy;
    }

    PolicySet withAdapterConcurrency(String newName, Supplier<LoadConcurrency> other) {
        PolicySet copy = copy(newName);
        copy.adapterConcurrency = other;
        return copy;
    }

    PolicySet withEviction(String newName, Supplier<EvictionPolicy> other) {
        PolicySet copy = copy(newName);
        copy.eviction = other;
        return copy;
    }

    PolicySet withLoadRule(String newName, Supplier<ReplicaLoadRule> other) {
        PolicySet copy = copy(newName);
        copy.loadRule = other;
        return copy;
    }

    PolicySet withIdle(String newName, Supplier<IdlePolicy> other) {
        PolicySet copy = copy(newName);
        copy.idle = other;
        return copy;
    }

    PolicySet withChooser(String newName, Supplier<EndpointChooser> other) {
        PolicySet copy = copy(newName);
        copy.chooser = other;
        return copy;
    }

    PolicySet withPlacement(String newName, ReplicaPlacement other) {
        PolicySet copy = copy(newName);
        copy.placement = other;
        return copy;
    }

    PolicySet withFixedRetries(String newName) {
        PolicySet copy = copy(newName);
        copy.retryBudget = false;
        return copy;
    }
}
