package org.hawthornglade.core.dispatch;

import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.pace.Pacing;

/** Accounts for the KV cache of engines that crash when it is full, over the calls of all entries. */
final class EngineMemory {
    private final Pacing pacing;

    EngineMemory(Pacing pacing) {
        this.pacing = pacing;
    }

    /**
     * Returns how many calls of a given size fit into the memory of an engine.
     *
     * <p>The calls of other entries count with the mean size of this entry's calls. Their last known number counts
     * without a leader too, as an engine that crashes loses the calls of all entries.
     *
     * @param capacityTokens the size of the KV cache, in tokens
     * @param usableTokens the part of it that calls may use beside each other, in tokens
     */
    double freeCalls(
            Endpoint endpoint, ServiceName service, ModelDemand demand, long capacityTokens, double usableTokens) {
        long own = endpoint.load().ownTokens();
        int others = endpoint.load().lastOthers();
        long tokens = Math.max(1, demand.kvTokens());
        double meanTokens = Math.max(1, pacing.meanTokens(service));
        double freeTokens = usableTokens - own - others * meanTokens;
        boolean empty = own == 0 && others == 0;
        if (empty && freeTokens < tokens) {
            return tokens <= capacityTokens ? 1 : 0;
        }
        return freeTokens < tokens ? 0 : Math.max(1, freeTokens / Math.max(meanTokens, (double) tokens));
    }
}
