package org.hawthornglade.core.idle;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hawthornglade.core.config.IdleSpec;
import org.hawthornglade.core.id.ModelName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plans of {@link HistogramIdlePolicy} over regular, unknown and random idle gaps. */
class HistogramIdlePolicyTest {
    private static final ModelName MODEL = ModelName.of("m");
    private static final long MINUTE_MS = 60_000;
    private static final ReplicaCost COST = new ReplicaCost(1, 40_000);

    private static IdlePlan planAfterGaps(double price, boolean prewarm, ReplicaCost cost, long gapMs) {
        HistogramIdlePolicy policy = new HistogramIdlePolicy(IdlePrice.linear(new IdleSpec(price)), prewarm);
        long nowMs = 0;
        for (int i = 0; i < 30; i++) {
            policy.onRequest(MODEL, nowMs);
            policy.plan(MODEL, nowMs, cost);
            nowMs += gapMs;
        }
        policy.onRequest(MODEL, nowMs);
        return policy.plan(MODEL, 0, cost);
    }

    @ParameterizedTest
    @CsvSource({
        // price, gap in minutes, kept over the gap
        "10, 60, true",
        "10, 600, false",
        "200, 5, true",
        "200, 60, false",
    })
    void keepsAModelOverAGapThatCostsLessThanTheColdStart(double price, long gapMinutes, boolean kept) {
        IdlePlan plan = planAfterGaps(price, false, COST, gapMinutes * MINUTE_MS);

        assertThat(plan.loadedAt(gapMinutes * MINUTE_MS)).isEqualTo(kept);
    }

    @Test
    void keepsAModelWithoutHistoryUntilThatCostsAsMuchAsAColdStart() {
        HistogramIdlePolicy policy = HistogramIdlePolicy.of(new IdleSpec(60));
        policy.onRequest(MODEL, 0);
        // 40 s of cold start are worth 40 minutes of one accelerator.
        assertThat(policy.plan(MODEL, 0, COST).loadedAt(5 * MINUTE_MS)).isTrue();
        assertThat(policy.plan(MODEL, 0, COST).loadedAt(41 * MINUTE_MS)).isFalse();
    }

    @Test
    void aNewPriceAppliesImmediately() {
        HistogramIdlePolicy policy = HistogramIdlePolicy.of(new IdleSpec(10));
        long nowMs = 0;
        for (int i = 0; i < 30; i++) {
            policy.onRequest(MODEL, nowMs);
            policy.plan(MODEL, nowMs, COST);
            nowMs += 60 * MINUTE_MS;
        }
        assertThat(policy.plan(MODEL, 0, COST).loadedAt(60 * MINUTE_MS)).isTrue();

        policy.updatePrice(new IdleSpec(200));

        assertThat(policy.plan(MODEL, 0, COST).loadedAt(60 * MINUTE_MS)).isFalse();
    }

    @Test
    void prewarmsAheadOfARegularRequest() {
        long gapMs = 60 * MINUTE_MS;
        IdlePlan plan = planAfterGaps(200, true, COST, gapMs);

        assertThat(plan.loadedAt(10 * MINUTE_MS)).isFalse();
        assertThat(plan.prewarmAtMs()).isAtMost(gapMs - COST.reloadMs());
        assertThat(plan.loadedAt(gapMs)).isTrue();
        assertThat(plan.prewarmUntilMs()).isLessThan(2 * gapMs);
    }

    @Test
    void keepsCostlyModelsAndUnloadsCheapOnes() {
        long gapMs = 30 * MINUTE_MS;

        assertThat(planAfterGaps(100, false, new ReplicaCost(1, 80_000), gapMs).loadedAt(gapMs))
                .isTrue();
        assertThat(planAfterGaps(100, false, new ReplicaCost(1, 2_000), gapMs).loadedAt(gapMs))
                .isFalse();
    }

    @Property(tries = 100, seed = "20261201")
    void theTimesOfAPlanAreInOrderWhateverTheGaps(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        HistogramIdlePolicy policy =
                new HistogramIdlePolicy(IdlePrice.convex(new IdleSpec(random.nextDouble() * 300), 2), true);
        long nowMs = 0;
        for (int i = 0; i < 40; i++) {
            policy.onRequest(MODEL, nowMs);
            IdlePlan plan = policy.plan(MODEL, nowMs, COST);
            assertThat(plan.unloadAtMs()).isAtLeast(nowMs);
            assertThat(plan.prewarmAtMs()).isAtLeast(plan.unloadAtMs() == IdlePlan.NEVER ? 0 : plan.unloadAtMs());
            assertThat(plan.prewarmUntilMs()).isAtLeast(plan.prewarmAtMs());
            nowMs += 1 + (long) (Math.pow(random.nextDouble(), 4) * 300 * MINUTE_MS);
        }
    }

    @ParameterizedTest
    @CsvSource({"0, 0, false", "60000, 59999, true", "60000, 60000, false"})
    void fixedKeepAliveUnloadsAfterTheKeepAliveTime(long keepAliveMs, long idleMs, boolean loaded) {
        IdlePlan plan = FixedKeepAlive.ofMs(keepAliveMs).plan(MODEL, 1_000, COST);

        assertThat(plan.loadedAt(1_000 + idleMs)).isEqualTo(loaded);
    }
}
