package org.hawthornglade.core.idle;

import org.hawthornglade.core.config.IdleSpec;
import org.hawthornglade.core.id.ModelName;

/** When an idle model is unloaded and loaded again ahead of requests. Calls must not overlap. */
public interface IdlePolicy {
    /**
     * Takes note of a request, whether the model was loaded or not.
     *
     * @param model the base model
     * @param nowMs the time now in milliseconds
     */
    void onRequest(ModelName model, long nowMs);

    /**
     * Plans for a model that runs no request and for which none waits.
     *
     * @param model the base model
     * @param idleSinceMs when it became idle, in milliseconds
     * @param cost what keeping and losing it costs
     * @return the plan; it holds until the next request
     */
    IdlePlan plan(ModelName model, long idleSinceMs, ReplicaCost cost);

    /**
     * Takes in what operators say idleness costs against waiting; a policy that weighs neither ignores it.
     *
     * @param spec the price of the configuration in force
     */
    default void updatePrice(IdleSpec spec) {}
}
