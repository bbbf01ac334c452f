package org.hawthornglade.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Bounds of the retry budget and of the backoff delays. */
class RetryTest {
    @Property(seed = "20261201")
    void retriesStayWithinTheShareOfTheTraffic(@ForAll @IntRange(min = 0, max = 2_000) int requests) {
        RetryBudget budget = new RetryBudget(0.2, 5);
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            budget.onRequest();
            while (budget.tryRetry()) {
                retries++;
            }
        }

        assertThat(retries).isAtMost(5 + (int) Math.ceil(0.2 * requests));
    }

    @Property(seed = "20261202")
    void delaysStayBelowTheGrowingCapAndAreNeverZero(
            @ForAll @IntRange(min = 1, max = 100) int attempt, @ForAll long seed) {
        Backoff backoff = new Backoff(50, 2_000);

        long delayMs = backoff.delayMs(attempt, new SplittableRandom(seed));

        assertThat(delayMs).isAtLeast(1);
        assertThat(delayMs).isAtMost(Math.min(2_000, 50L << Math.min(attempt - 1, 10)));
    }
}
