package org.hawthornglade.standin.weight;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.time.Timers;
import org.hawthornglade.standin.time.TokenBucket;

/** Simulates a weight store: fetches share its bandwidth, and the rate of new fetches is limited. */
public final class InMemoryWeightStore implements WeightStore {
    private static final long TICK_MS = 20;
    private static final double MS_PER_SECOND = 1_000.0;
    private static final double PERCENT = 100.0;
    private static final double COMPLETE_BELOW_MB = 1e-6;

    private static final class Transfer {
        private final long startedAtMs;
        private final Consumer<Either<Failure, FetchResult>> done;
        private double remainingMb;

        private Transfer(FetchRequest request, long beganMs, Consumer<Either<Failure, FetchResult>> done) {
            this.remainingMb = request.sizeMb();
            this.startedAtMs = beganMs;
            this.done = done;
        }
    }

    private final WeightStoreSettings settings;
    private final FaultInjector faults;
    private final Timers timers;
    private final TokenBucket starts;
    private final List<Transfer> active = new ArrayList<>();
    private long updatedAtMs;
    private boolean ticking;

    /** Creates a store that holds every checkpoint. */
    public InMemoryWeightStore(WeightStoreSettings settings, FaultInjector faults, Timers timers) {
        this.settings = settings;
        this.faults = faults;
        this.timers = timers;
        this.starts = new TokenBucket(settings.loadsPerSecond(), timers.clock());
    }

    @Override
    public void fetch(FetchRequest request, Consumer<Either<Failure, FetchResult>> done) {
        long waitMs = begin(request, done);
        if (waitMs > 0) {
            done.accept(Either.left(
                    Failure.retryAfter(ResultCode.PLATFORM_RATE_LIMITED, "too many loads a second", waitMs)));
        }
    }

    /** Returns how many fetches run now. */
    public synchronized int activeFetches() {
        return active.size();
    }

    private synchronized long begin(FetchRequest request, Consumer<Either<Failure, FetchResult>> done) {
        long waitMs = starts.takeOrGetWaitMs();
        if (waitMs > 0) {
            return waitMs;
        }
        updateProgress();
        active.add(new Transfer(request, timers.clock().nowMs(), done));
        scheduleTick();
        return 0;
    }

    private void scheduleTick() {
        if (ticking || active.isEmpty()) {
            return;
        }
        ticking = true;
        timers.after(Math.min(TICK_MS, nextEndInMs()), this::tick);
    }

    private void tick() {
        List<Transfer> ended = removeEnded();
        long nowMs = timers.clock().nowMs();
        ended.forEach(transfer -> transfer.done.accept(Either.right(new FetchResult(nowMs - transfer.startedAtMs))));
    }

    private synchronized List<Transfer> removeEnded() {
        ticking = false;
        updateProgress();
        List<Transfer> ended = active.stream()
                .filter(transfer -> transfer.remainingMb <= COMPLETE_BELOW_MB)
                .toList();
        active.removeAll(ended);
        scheduleTick();
        return ended;
    }

    private void updateProgress() {
        long nowMs = timers.clock().nowMs();
        double movedMb = (nowMs - updatedAtMs) / MS_PER_SECOND * speedMbPerSecond();
        active.forEach(transfer -> transfer.remainingMb -= movedMb);
        updatedAtMs = nowMs;
    }

    private long nextEndInMs() {
        double minRemainingMb = active.stream()
                .mapToDouble(transfer -> transfer.remainingMb)
                .min()
                .orElse(0);
        return (long) Math.ceil(Math.max(0, minRemainingMb) / speedMbPerSecond() * MS_PER_SECOND);
    }

    private double speedMbPerSecond() {
        double share = Math.min(1.0, (double) settings.fullSpeedFetches() / Math.max(1, active.size()));
        return settings.fetchMbPerSecond() * share * faults.script().speedPercent() / PERCENT;
    }
}
