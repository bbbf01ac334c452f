package org.hawthornglade.core.dispatch;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.List;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.pace.EntryShare;
import org.hawthornglade.core.pace.Pacing;

/** Applies the concurrency limits of servers to a choice, and spreads it over servers that look equally good. */
final class PacedChoice {
    /** Costs of plain servers that differ by less count as equal; less than another failure domain costs. */
    private static final double EQUAL_SHARE = 0.05;
    /** Expected times of engines that differ by less count as equal, in milliseconds. */
    private static final double EQUAL_MS = 3;
    /** A call that is decided on later than this after its last progress has waited. */
    private static final long WAITED_MS = 10;

    /** Room below which new calls contend too, since several may come within the age of a report. */
    private static final double CRASH_FREE_CALLS = 3;

    private final Pacing pacing;

    PacedChoice(Pacing pacing) {
        this.pacing = pacing;
    }

    /** Returns whether the service rates of some endpoints are used in the choice between them. */
    boolean byTime(List<Endpoint> endpoints) {
        for (Endpoint endpoint : endpoints) {
            if (pacing.choosesByTime(endpoint.pace())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the calls that this entry may start at an endpoint beside those known to be in flight there. */
    double freeCalls(Endpoint endpoint, long nowMs) {
        if (!pacing.limits(endpoint.pace())) {
            return Double.MAX_VALUE;
        }
        long reportAgeMs = endpoint.load().reportAgeMs(nowMs);
        int own = endpoint.load().ownRequests();
        int inFlight = endpoint.load().requests(nowMs);
        endpoint.pace().onReport(inFlight, nowMs - reportAgeMs, nowMs);
        double ownLimit = endpoint.load().reported()
                ? endpoint.pace().ownLimit(endpoint.load().ownAtReport(), reportAgeMs, pacing.entries())
                : endpoint.pace().firstOwnLimit(pacing.entries());
        return Math.min(endpoint.pace().limit().calls() - inFlight, ownLimit - own);
    }

    /**
     * Returns whether this entry may start a call in the free room of an endpoint.
     *
     * <p>A call that has just arrived uses it at once. One that has waited contends with the calls that wait at other
     * entries for the same room.
     *
     * @param freeCalls the calls for which there is room; {@link Double#MAX_VALUE} if it is not limited
     */
    boolean mayStart(Endpoint endpoint, CallView call, double freeCalls, long nowMs) {
        if (freeCalls == Double.MAX_VALUE || (freeCalls >= 1 && !waited(call, nowMs))) {
            return true;
        }
        return draw(endpoint.pace().share(), endpoint, freeCalls, false, nowMs);
    }

    /**
     * Returns whether this entry may start a call in the free memory of an engine that crashes when it is full.
     *
     * @param fittingCalls the calls that fit into the memory
     */
    boolean mayFill(Endpoint endpoint, CallView call, double fittingCalls, long nowMs) {
        if (fittingCalls >= CRASH_FREE_CALLS && !waited(call, nowMs)) {
            return true;
        }
        return draw(endpoint.pace().memoryShare(), endpoint, fittingCalls, true, nowMs);
    }

    private static boolean waited(CallView call, long nowMs) {
        return nowMs - call.lastProgressAtMs() > WAITED_MS;
    }

    private boolean draw(EntryShare share, Endpoint endpoint, double freeCalls, boolean crashes, long nowMs) {
        int own = endpoint.load().ownRequests();
        int others = endpoint.load().requests(nowMs) - own;
        return share.mayStart(freeCalls, own, others, pacing.entries(), crashes, pacing.random(), nowMs);
    }

    /**
     * Returns the index of the engine for a call among those that are expected to be about as early as the earliest, or
     * -1 if there are none.
     *
     * <p>All entries choose the same engine for the same shared parts of a prompt, and mostly different ones for
     * different parts, so that each part is read and cached at few engines.
     */
    int byPrefix(double[] expectedMs, List<Endpoint> engines, ModelDemand demand) {
        double least = Double.MAX_VALUE;
        for (int i = 0; i < engines.size(); i++) {
            least = Math.min(least, expectedMs[i]);
        }
        int chosen = -1;
        long highest = 0;
        for (int i = 0; i < engines.size(); i++) {
            if (expectedMs[i] <= least + EQUAL_MS) {
                long score = score(engines.get(i), demand);
                if (chosen < 0 || score > highest) {
                    chosen = i;
                    highest = score;
                }
            }
        }
        return chosen;
    }

    /** Returns a number that is as good as random, but the same at all entries. */
    private static long score(Endpoint engine, ModelDemand demand) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putUnencodedChars(engine.id().value()).putChar('|').putUnencodedChars(demand.variant());
        for (PromptPart part : demand.sharedParts()) {
            hasher.putChar('|').putUnencodedChars(part.id().value());
        }
        return hasher.hash().asLong();
    }

    /** Returns a random index among the costs of plain servers within a small share of the least, or -1 if none. */
    int spread(double[] costs, int count) {
        double least = Double.MAX_VALUE;
        for (int i = 0; i < count; i++) {
            least = Math.min(least, costs[i]);
        }
        int chosen = -1;
        int equal = 0;
        for (int i = 0; i < count; i++) {
            if (costs[i] <= least * (1 + EQUAL_SHARE)) {
                equal++;
                chosen = pacing.random().nextInt(equal) == 0 ? i : chosen;
            }
        }
        return chosen;
    }
}
