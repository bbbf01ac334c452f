package org.hawthornglade.core.entry;

import java.util.List;
import java.util.TreeSet;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.report.ModelDemand;

/** Adds up the demand of an entry for one model. */
final class DemandCounter {
    private final ModelName model;
    private final ModelUsage usage;
    private final TreeSet<ModelName> adapters = new TreeSet<>();
    private int queued;
    private int running;
    private double waitingWeight;
    private long oldestWaitMs;
    private long earliestDeadlineInMs = Long.MAX_VALUE;

    DemandCounter(ModelName model, ModelUsage usage) {
        this.model = model;
        this.usage = usage;
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

    /** Counts a request that was refused with a retry-after time. */
    void addRetrying(IncomingRequest request, ModelName adapter, long retryInMs) {
        queued++;
        waitingWeight += request.weight();
        earliestDeadlineInMs = Math.min(earliestDeadlineInMs, retryInMs);
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
                usage.sinceLastMs(nowMs),
                usage.received());
    }
}
