package org.hawthornglade.bench.experiment;

import java.util.List;

/**
 * The models and requests of one run.
 *
 * @param deployment the deployment that the trace is for
 * @param seed the seed that the trace was generated from
 * @param models the base models
 * @param requests the requests in order of arrival
 * @param measureFromMs when measuring starts, in milliseconds; policies learn before that
 * @param endMs the end of the trace, in milliseconds
 */
record Trace(
        Deployment deployment,
        long seed,
        List<ModelProfile> models,
        List<TraceRequest> requests,
        long measureFromMs,
        long endMs) {}
