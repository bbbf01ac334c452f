package org.hawthornglade.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.bench.time.VirtualTime;

/** Models the limits of the weight store: loads per second, and the speed that loads share beyond a few at once. */
final class WeightStoreModel {
    private static final double FULL_SPEED_MB_PER_MS = 1.5;

    private final VirtualTime time;
    private final int loadsPerSecond;
    private final List<Transfer> transfers = new ArrayList<>();
    private double speedFactor = 1;
    private double tokens;
    private long tokensAtMs;
    private long advancedAtMs;
    private long version;

    WeightStoreModel(VirtualTime time, int loadsPerSecond) {
        this.time = time;
        this.loadsPerSecond = loadsPerSecond;
        this.tokens = loadsPerSecond;
    }

    /** Returns how long a transfer takes at full speed, in milliseconds. */
    static long fullSpeedMs(int sizeMb) {
        return Math.round(sizeMb / FULL_SPEED_MB_PER_MS);
    }

    void setSpeedFactor(double factor) {
        advance();
        speedFactor = factor;
        scheduleNext();
    }

    /** Starts a transfer unless the rate limit rejects it; returns whether it started. */
    boolean tryStart(Transfer transfer) {
        long nowMs = time.nowMs();
        tokens = Math.min(loadsPerSecond, tokens + (nowMs - tokensAtMs) * loadsPerSecond / 1_000.0);
        tokensAtMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        advance();
        transfers.add(transfer);
        scheduleNext();
        return true;
    }

    void cancel(Transfer transfer) {
        advance();
        transfers.remove(transfer);
        scheduleNext();
    }

    private double mbPerMsEach() {
        double sharing = Math.max(1, (double) transfers.size() / Deployment.STORE_FULL_SPEED_LOADS);
        return FULL_SPEED_MB_PER_MS * speedFactor / sharing;
    }

    private void advance() {
        double doneMb = (time.nowMs() - advancedAtMs) * mbPerMsEach();
        advancedAtMs = time.nowMs();
        transfers.forEach(transfer -> transfer.leftMb -= doneMb);
    }

    private void scheduleNext() {
        long scheduled = ++version;
        double leastMb = transfers.stream()
                .mapToDouble(transfer -> transfer.leftMb)
                .min()
                .orElse(-1);
        if (transfers.isEmpty()) {
            return;
        }
        long delayMs = (long) Math.ceil(Math.max(0, leastMb) / mbPerMsEach());
        time.after(delayMs, () -> finish(scheduled));
    }

    private void finish(long scheduled) {
        if (scheduled != version) {
            return;
        }
        advance();
        List<Transfer> done =
                transfers.stream().filter(transfer -> transfer.leftMb < 0.5).toList();
        transfers.removeAll(done);
        scheduleNext();
        done.forEach(transfer -> transfer.onDone.run());
    }

    /** A load in progress. */
    static final class Transfer {
        private final Runnable onDone;
        private double leftMb;

        Transfer(int sizeMb, Runnable onDone) {
            this.leftMb = sizeMb;
            this.onDone = onDone;
        }
    }
}
