package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.ports.table.TableService;

/** Claims without threads: each is a group by itself, and {@link #retrySettlements} retries failed settlements. */
public final class SynchronousClaims implements Claims {
    private final ClaimTable table;
    private final ArrayDeque<Settlement> queue = new ArrayDeque<>();
    private Runnable afterClaim = () -> {};
    private boolean killed;

    public SynchronousClaims(TableService service, Clock clock) {
        this.table = new ClaimTable(service, clock);
    }

    @Override
    public Either<Failure, ClaimResult> claim(ClaimRequest claim) {
        ClaimDecision decision = table.claim(List.of(claim)).get(0);
        if (decision.mayHoldRow()) {
            queue.add(Settlement.notRun(claim));
            retrySettlements();
        }
        afterClaim.run();
        return decision.result();
    }

    @Override
    public CompletableFuture<Boolean> settle(Settlement settlement) {
        if (killed) {
            return CompletableFuture.completedFuture(false);
        }
        queue.add(settlement);
        retrySettlements();
        return CompletableFuture.completedFuture(queue.isEmpty());
    }

    /** Tries each queued settlement once more. */
    public void retrySettlements() {
        int count = queue.size();
        for (int number = 0; number < count; number++) {
            Settlement next = queue.poll();
            if (table.settle(List.of(next)).isLeft()) {
                queue.add(next);
            }
        }
    }

    /** Sets an action that runs after each claim, before the result is returned. */
    public void afterClaim(Runnable action) {
        afterClaim = action;
    }

    /** Simulates a killed process: no further settlement is recorded. */
    public void kill() {
        killed = true;
        queue.clear();
    }
}
