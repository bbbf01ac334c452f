package org.hawthornglade.bench.experiment;

import java.util.List;

/**
 * The models and requests of one run.
 *
 * @param deployment whose
 * @param seed what it was made from
 * @param models the base models
 * @param requests the requests in order of arrival
 * @param measureFromMs from when on measures count; before that policies learn
 * @param endMs when the trace ends, in milliseconds
 */
record Trace(
        Deployment deployment,
        long seed,
        List<ModelProfile> models,
        List<TraceRequest> requests,
        long measureFromMs,
        long endMs) {}
