package org.hawthornglade.gateway.exchange;

import java.util.Optional;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Variant;

/** What one attempt adds to the load of its endpoint, from its start to its end. */
final class AttemptLoad {
    private final Endpoint endpoint;
    private final Optional<ModelDemand> demand;
    private final Optional<Variant> variant;
    private final long kvTokens;
    private final int prefillTokens;
    private boolean prefillDone;

    /**
     * Creates the load of an attempt that has not started.
     *
     * @param cachedTokens the tokens of the prompt that the endpoint has read before
     */
    AttemptLoad(Endpoint endpoint, CallView view, int cachedTokens) {
        this.endpoint = endpoint;
        this.demand = view.demand();
        this.variant = demand.map(each -> new Variant(each.model(), each.adapter()));
        this.kvTokens = demand.map(ModelDemand::kvTokens).orElse(0L);
        this.prefillTokens = demand.map(each -> Math.max(0, each.promptTokens() - cachedTokens))
                .orElse(0);
    }

    void begin() {
        endpoint.load().begin(variant, kvTokens, prefillTokens);
    }

    /** Records that the endpoint has read the prompt, which is in its cache now. */
    void onPrefillDone() {
        if (prefillDone) {
            return;
        }
        prefillDone = true;
        endpoint.load().endPrefill(prefillTokens);
        demand.ifPresent(each -> endpoint.prefixCache().add(each.variant(), each.prefix()));
    }

    boolean prefillDone() {
        return prefillDone;
    }

    void end() {
        if (!prefillDone) {
            endpoint.load().endPrefill(prefillTokens);
        }
        endpoint.load().end(variant, kvTokens);
    }
}
