package org.hawthornglade.core.idle;

import org.hawthornglade.core.config.IdleSpec;
import org.hawthornglade.core.id.ModelName;

/** Plans when idle models are unloaded and pre-warmed ahead of requests. Calls must not overlap. */
public interface IdlePolicy {
    /**
     * Records a request, whether the model was loaded or not.
     *
     * @param model the base model
     * @param nowMs the current time in milliseconds
     */
    void onRequest(ModelName model, long nowMs);

    /**
     * Returns the plan for a model that runs no request and for which none waits.
     *
     * @param model the base model
     * @param idleSinceMs when it became idle, in milliseconds
     * @param cost the cost of keeping and of reloading it
     * @return the plan, which is valid until the next request
     */
    IdlePlan plan(ModelName model, long idleSinceMs, ReplicaCost cost);

    /**
     * Updates the price of idle accelerators relative to waiting; policies that use no price ignore it.
     *
     * @param spec the price in the current configuration
     */
    default void updatePrice(IdleSpec spec) {}
}
