package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.ports.table.TableService;

/** Claims without threads: each is a group of its own, and settlements are tried when {@link #retrySettlements} says. */
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
        ClaimDecision verdict = table.claim(List.of(claim)).get(0);
        if (verdict.mayHoldRow()) {
            queue.add(Settlement.notRun(claim));
            retrySettlements();
        }
        afterClaim.run();
        return verdict.result();
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

    /** Tries each settlement that waits once more. */
    public void retrySettlements() {
        int count = queue.size();
        for (int number = 0; number < count; number++) {
            Settlement next = queue.poll();
            if (table.settle(List.of(next)).isLeft()) {
                queue.add(next);
            }
        }
    }

    /** Runs something between each claim and what follows it. */
    public void afterClaim(Runnable action) {
        afterClaim = action;
    }

    /** Records nothing any more, as a killed process. */
    public void kill() {
        killed = true;
        queue.clear();
    }
}
