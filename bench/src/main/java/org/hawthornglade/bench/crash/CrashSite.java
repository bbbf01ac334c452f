package org.hawthornglade.bench.crash;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.PromptPartId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;

/** Generates calls for one model: few first parts, more second parts, and one deadly second part. */
final class CrashSite {
    static final ServiceName SERVICE = ServiceName.of("drafts");
    static final FailureDomain LOCAL_DOMAIN = FailureDomain.of("zone-a");

    private static final ModelName MODEL = ModelName.of("m0");
    static final Map<ModelName, Set<AdapterName>> MODELS = new LinkedHashMap<>(Map.of(MODEL, Set.of()));

    private static final String DEADLY_PART = "dead";
    private static final int FIRST_PARTS = 3;
    private static final int SECOND_PARTS = 27;
    private static final int TOKENS = 1_000;
    private static final long TARGET_MS = 800;
    private static final long DEADLINE_MS = 5_000;
    private static final double RESUMABLE_SHARE = 0.3;

    private final Random random;
    private long calls;

    CrashSite(Random random) {
        this.random = random;
    }

    /** Generates a call. */
    CallView call(boolean deadly, long nowMs) {
        boolean resumable = random.nextDouble() < RESUMABLE_SHARE;
        Route route = new Route(
                resumable ? "resumable" : "once",
                "h.example",
                "/r/",
                CallKind.STREAM,
                DEADLINE_MS,
                TARGET_MS,
                500,
                DEADLINE_MS,
                resumable ? 2 : 1,
                1,
                resumable,
                List.of());
        List<PromptPart> prefix = List.of(
                new PromptPart(PromptPartId.of("a" + random.nextInt(FIRST_PARTS)), TOKENS),
                new PromptPart(PromptPartId.of(deadly ? DEADLY_PART : "b" + random.nextInt(SECOND_PARTS)), TOKENS),
                new PromptPart(PromptPartId.of("own" + calls++), TOKENS));
        ModelDemand demand = new ModelDemand(MODEL, Optional.empty(), 3 * TOKENS, 100, prefix);
        return new CallView(SERVICE, route, Optional.of(demand), nowMs, nowMs + DEADLINE_MS);
    }

    static boolean deadly(CallView call) {
        return call.demand().orElseThrow().prefix().get(1).id().value().equals(DEADLY_PART);
    }
}
