package org.hawthornglade.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.result.ResultCode;

/** Decides on calls for endpoints with a rate limit shared by all entries. */
final class RateLimitWait {
    /** Expected delay of requesting a permit from the leader first. */
    static final double PERMIT_REQUEST_MS = 10;
    /** Minimum rate in requests per second at which an endpoint is still probed if its limit is lower. */
    private static final double MIN_PER_S = 0.25;
    /** Retry-after time while no leader grants permits. */
    private static final long NO_LEADER_RETRY_MS = 1_000;

    private RateLimitWait() {}

    /** Returns whether a request could be sent to the endpoint now. */
    static boolean sendable(Endpoint endpoint, long nowMs) {
        OptionalDouble limit = endpoint.notices().rateLimit().perSecond();
        return limit.isEmpty() || endpoint.permits().available(nowMs);
    }

    /** Returns the endpoints to which a request could be sent now; all of them if none advertises a limit. */
    static List<Endpoint> sendable(List<Endpoint> endpoints, long nowMs) {
        List<Endpoint> sendable = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            if (sendable(endpoint, nowMs)) {
                sendable.add(endpoint);
            }
        }
        return sendable;
    }

    /** Returns the endpoints to which a request could be sent now or for which a permit may be requested. */
    static List<Endpoint> selectable(List<Endpoint> endpoints, long nowMs) {
        List<Endpoint> reachable = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            if (sendable(endpoint, nowMs) || endpoint.permits().mayRequestBriefly(nowMs)) {
                reachable.add(endpoint);
            }
        }
        return reachable;
    }

    /**
     * Decides on a call that can be sent nowhere without a permit: it waits for a permit if that is expected in time
     * and is refused with a retry-after time otherwise.
     *
     * @param loadedAtMs when another endpoint will have loaded the model; {@link Long#MAX_VALUE} if none loads it
     */
    static Decision decide(CallView call, List<Endpoint> limited, long loadedAtMs, long nowMs) {
        Endpoint best = earliest(limited, nowMs);
        boolean granting = best.permits().leaderGrants(nowMs);
        long expectedAtMs = granting ? expectedAtMs(best, nowMs) : nowMs + NO_LEADER_RETRY_MS;
        if (loadedAtMs < expectedAtMs && loadedAtMs <= call.abandonAtMs()) {
            return new Decision.Wait("replica-coming", OptionalLong.of(loadedAtMs));
        }
        if (!granting) {
            return refuse(call, NO_LEADER_RETRY_MS);
        }
        if (expectedAtMs <= call.abandonAtMs()) {
            return new Decision.AwaitPermit(best, false, OptionalLong.of(expectedAtMs));
        }
        if (best.permits().mayRequestBriefly(nowMs)) {
            return new Decision.AwaitPermit(best, true, OptionalLong.empty());
        }
        return refuse(call, Math.min(loadedAtMs, expectedAtMs) - nowMs);
    }

    private static Decision refuse(CallView call, long afterMs) {
        return new Decision.Refuse(ResultCode.ENDPOINTS_LIMITED, afterMs + PauseWait.jitterMs(call, afterMs));
    }

    private static Endpoint earliest(List<Endpoint> limited, long nowMs) {
        Endpoint best = limited.get(0);
        for (Endpoint endpoint : limited) {
            boolean granting = endpoint.permits().leaderGrants(nowMs);
            boolean earlier = expectedAtMs(endpoint, nowMs) < expectedAtMs(best, nowMs);
            if (granting && (earlier || !best.permits().leaderGrants(nowMs))) {
                best = endpoint;
            }
        }
        return best;
    }

    private static long expectedAtMs(Endpoint endpoint, long nowMs) {
        double limit = endpoint.notices().rateLimit().perSecond().orElse(MIN_PER_S);
        return endpoint.permits().expectedAtMs(Math.max(MIN_PER_S, limit), nowMs);
    }
}
