package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.ports.table.TableService;

/** Claims without threads: each is a group of its own, and settlements are tried when {@link #settleAll} says. */
public final class DirectClaims implements Claims {
    private final ClaimTable table;
    private final ArrayDeque<Settlement> waiting = new ArrayDeque<>();
    private Runnable afterClaim = () -> {};
    private boolean dead;

    public DirectClaims(TableService service, Clock clock) {
        this.table = new ClaimTable(service, clock);
    }

    @Override
    public Either<Failure, ClaimResult> claim(ClaimTry claim) {
        ClaimVerdict verdict = table.claim(List.of(claim)).get(0);
        if (verdict.mayBeHeld()) {
            waiting.add(Settlement.notRun(claim));
            settleAll();
        }
        afterClaim.run();
        return verdict.result();
    }

    @Override
    public CompletableFuture<Boolean> settle(Settlement settlement) {
        if (dead) {
            return CompletableFuture.completedFuture(false);
        }
        waiting.add(settlement);
        settleAll();
        return CompletableFuture.completedFuture(waiting.isEmpty());
    }

    /** Tries each settlement that waits once more. */
    public void settleAll() {
        int count = waiting.size();
        for (int number = 0; number < count; number++) {
            Settlement next = waiting.poll();
            if (table.settle(List.of(next)).isLeft()) {
                waiting.add(next);
            }
        }
    }

    /** Runs something between each claim and what follows it. */
    public void afterClaim(Runnable action) {
        afterClaim = action;
    }

    /** Records nothing any more, as a killed process. */
    public void kill() {
        dead = true;
        waiting.clear();
    }
}
