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

/**
 * A set with one policy for each decision.
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
record PolicySet(
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
    PolicySet withAdmission(String newName, Function<AdmissionWeights, AdmissionQueue> other) {
        return new PolicySet(
                newName,
                other,
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

    PolicySet withOrder(String newName, Supplier<LoadOrder> other) {
        return new PolicySet(
                newName,
                admission,
                other,
                concurrency,
                adapterConcurrency,
                eviction,
                loadRule,
                idle,
                chooser,
                placement,
                retryBudget);
    }

    PolicySet withConcurrency(String newName, Supplier<LoadConcurrency> other) {
        return new PolicySet(
                newName,
                admission,
                order,
                other,
                adapterConcurrency,
                eviction,
                loadRule,
                idle,
                chooser,
                placement,
                retryBudget);
    }

    PolicySet withAdapterConcurrency(String newName, Supplier<LoadConcurrency> other) {
        return new PolicySet(
                newName,
                admission,
                order,
                concurrency,
                other,
                eviction,
                loadRule,
                idle,
                chooser,
                placement,
                retryBudget);
    }

    PolicySet withEviction(String newName, Supplier<EvictionPolicy> other) {
        return new PolicySet(
                newName,
                admission,
                order,
                concurrency,
                adapterConcurrency,
                other,
                loadRule,
                idle,
                chooser,
                placement,
                retryBudget);
    }

    PolicySet withLoadRule(String newName, Supplier<ReplicaLoadRule> other) {
        return new PolicySet(
                newName,
                admission,
                order,
                concurrency,
                adapterConcurrency,
                eviction,
                other,
                idle,
                chooser,
                placement,
                retryBudget);
    }

    PolicySet withIdle(String newName, Supplier<IdlePolicy> other) {
        return new PolicySet(
                newName,
                admission,
                order,
                concurrency,
                adapterConcurrency,
                eviction,
                loadRule,
                other,
                chooser,
                placement,
                retryBudget);
    }

    PolicySet withChooser(String newName, Supplier<EndpointChooser> other) {
        return new PolicySet(
                newName,
                admission,
                order,
                concurrency,
                adapterConcurrency,
                eviction,
                loadRule,
                idle,
                other,
                placement,
                retryBudget);
    }

    PolicySet withPlacement(String newName, ReplicaPlacement other) {
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
                other,
                retryBudget);
    }

    PolicySet withFixedRetries(String newName) {
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
                false);
    }
}
