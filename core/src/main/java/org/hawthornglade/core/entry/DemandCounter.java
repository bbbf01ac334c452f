package org.hawthornglade.core.entry;

import java.util.List;
import java.util.TreeSet;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.report.ModelDemand;

/** Adds up what an entry wants of one model. */
final class DemandCounter {
    private final ModelName model;
    private final ModelUsage use;
    private final TreeSet<ModelName> adapters = new TreeSet<>();
    private int queued;
    private int running;
    private double waitingWeight;
    private long oldestWaitMs;
    private long earliestDeadlineInMs = Long.MAX_VALUE;

    DemandCounter(ModelName model, ModelUsage use) {
        this.model = model;
        this.use = use;
    }

    void addWaiting(IncomingRequest request, ModelName adapter, long nowMs) {
        queued++;
        waitingWeight += request.weight();
        oldestWaitMs = Math.max(oldestWaitMs, nowMs - request.arrivedAtMs());
        earliestDeadlineInMs = Math.min(earliestDeadlineInMs, request.deadlineAtMs() - nowMs);
        if (adapter != null) {
            adapters.add(adapter);
        }
    }

    /** Counts a request that was told to come back. */
    void addRetrying(IncomingRequest request, ModelName adapter, long backInMs) {
        queued++;
        waitingWeight += request.weight();
        earliestDeadlineInMs = Math.min(earliestDeadlineInMs, backInMs);
        if (adapter != null) {
            adapters.add(adapter);
        }
    }

    void addRunning() {
        running++;
    }

    ModelDemand toDemand(long nowMs) {
        return new ModelDemand(
                model,
                queued,
                running,
                waitingWeight,
                oldestWaitMs,
                earliestDeadlineInMs,
                List.copyOf(adapters),
                use.sinceLastMs(nowMs),
                use.received());
    }
}
