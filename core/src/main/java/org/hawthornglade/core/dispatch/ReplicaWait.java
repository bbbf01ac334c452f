package org.hawthornglade.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.serving.EngineDefinition;

/** Decides whether a call waits for its model or is told at once when to come back. */
final class ReplicaWait {
    /** When to come back while nobody knows when the model will be ready. */
    private static final long UNKNOWN_RETRY_MS = 1_000;
    /** The share of its patience that a caller is kept waiting without an expected time. */
    private static final double UNKNOWN_WAIT_SHARE = 0.5;

    private ReplicaWait() {}

    /**
     * Decides for a call whose model is ready nowhere.
     *
     * @param usable the endpoints of its service
     * @param readMs how long an engine takes to read the prompt
     */
    static Decision decide(
            CallView call,
            ModelDemand demand,
            EngineDefinition engine,
            List<Endpoint> usable,
            double readMs,
            long nowMs) {
        if (!engine.models().containsKey(demand.model())) {
            return new Decision.Refuse(ResultCode.MODEL_NOT_LOADED, UNKNOWN_RETRY_MS);
        }
        OptionalLong readyAtMs = expectedAtMs(demand, usable, nowMs);
        if (readyAtMs.isPresent()) {
            boolean inTime = readyAtMs.getAsLong() + readMs <= call.abandonAtMs();
            return inTime
                    ? new Decision.Wait("replica-coming", readyAtMs)
                    : new Decision.Refuse(ResultCode.DEADLINE_NOT_REACHABLE, readyAtMs.getAsLong() - nowMs);
        }
        long patienceMs = call.abandonAtMs() - call.lastProgressAtMs();
        if (nowMs - call.lastProgressAtMs() > UNKNOWN_WAIT_SHARE * patienceMs) {
            return new Decision.Refuse(ResultCode.MODEL_NOT_LOADED, UNKNOWN_RETRY_MS);
        }
        return new Decision.Wait("replica");
    }

    /** Returns when the first load of the model is expected to end; nothing if none is known of. */
    static OptionalLong expectedAtMs(ModelDemand demand, List<Endpoint> usable, long nowMs) {
        OptionalLong soonest = OptionalLong.empty();
        for (Endpoint endpoint : usable) {
            Optional<ReplicaState> replica = endpoint.replica(demand.model());
            if (replica.isPresent() && replica.get().status() == ReplicaStatus.LOADING) {
                long atMs = Math.max(nowMs, replica.get().readyAtMs());
                soonest = OptionalLong.of(Math.min(atMs, soonest.orElse(Long.MAX_VALUE)));
            }
        }
        return soonest;
    }
}
