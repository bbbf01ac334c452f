package org.hawthornglade.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.serving.EngineDefinition;

/** Decides whether a call waits for its model to be loaded or is refused with a retry-after time. */
final class ReplicaWait {
    /** Retry-after time while it is unknown when the model will be ready. */
    private static final long UNKNOWN_RETRY_MS = 1_000;
    /** Share of the time until the caller abandons the call that may pass without an expected load time. */
    private static final double UNKNOWN_WAIT_SHARE = 0.5;

    private ReplicaWait() {}

    /**
     * Decides on a call whose model is ready at no endpoint.
     *
     * @param usable the usable endpoints of its service
     * @param prefillMs how long an engine takes to prefill the prompt
     */
    static Decision decide(
            CallView call,
            ModelDemand demand,
            EngineDefinition engine,
            List<Endpoint> usable,
            double prefillMs,
            long nowMs) {
        if (!engine.models().containsKey(demand.model())) {
            return new Decision.Refuse(ResultCode.MODEL_NOT_LOADED, UNKNOWN_RETRY_MS);
        }
        OptionalLong readyAtMs = expectedAtMs(demand, usable, nowMs);
        if (readyAtMs.isPresent()) {
            boolean inTime = readyAtMs.getAsLong() + prefillMs <= call.abandonAtMs();
            return inTime
                    ? new Decision.Wait("replica-coming", readyAtMs)
                    : new Decision.Refuse(ResultCode.DEADLINE_NOT_REACHABLE, readyAtMs.getAsLong() - nowMs);
        }
        long maxSilenceMs = call.abandonAtMs() - call.lastProgressAtMs();
        if (nowMs - call.lastProgressAtMs() > UNKNOWN_WAIT_SHARE * maxSilenceMs) {
            return new Decision.Refuse(ResultCode.MODEL_NOT_LOADED, UNKNOWN_RETRY_MS);
        }
        return new Decision.Wait("replica");
    }

    /**
     * Returns when the first load that the call needs is expected to end; empty if no load is known.
     *
     * <p>That is the load of the model, unless an endpoint has the model ready and lacks just the adapter: then the
     * adapter is loaded there as soon as it has a free slot, whatever other endpoints load.
     */
    static OptionalLong expectedAtMs(ModelDemand demand, List<Endpoint> usable, long nowMs) {
        if (demand.adapter().isPresent() && isReadyAnywhere(demand, usable, nowMs)) {
            return OptionalLong.empty();
        }
        OptionalLong earliest = OptionalLong.empty();
        for (Endpoint endpoint : usable) {
            Optional<ReplicaState> replica = endpoint.replica(demand.model());
            if (replica.isPresent() && replica.get().status() == ReplicaStatus.LOADING) {
                long atMs = Math.max(nowMs, replica.get().readyAtMs());
                earliest = OptionalLong.of(Math.min(atMs, earliest.orElse(Long.MAX_VALUE)));
            }
        }
        return earliest;
    }

    private static boolean isReadyAnywhere(ModelDemand demand, List<Endpoint> usable, long nowMs) {
        for (Endpoint endpoint : usable) {
            boolean acceptsCalls =
                    !endpoint.health().unreachable(nowMs) && endpoint.notices().acceptsCalls(nowMs);
            if (acceptsCalls && endpoint.serves(demand.model(), Optional.empty(), nowMs)) {
                return true;
            }
        }
        return false;
    }
}
