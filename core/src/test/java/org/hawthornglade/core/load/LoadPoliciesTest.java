package org.hawthornglade.core.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hawthornglade.core.id.ModelName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Orders of loads, evictions, load concurrency and the rule by which holders load their replicas. */
class LoadPoliciesTest {
    private static final long AGEING_MS = 60_000;

    private static LoadCandidate candidate(String name, int memoryMb, long loadMs, double weight, long sinceMs) {
        return new LoadCandidate(ModelName.of(name), null, memoryMb, loadMs, weight, weight, sinceMs, Long.MAX_VALUE);
    }

    @Test
    void smithOrderLoadsTheMostWeightForEachSecondFirst() {
        List<LoadCandidate> order = new SmithLoadOrder(AGEING_MS)
                .order(
                        List.of(
                                candidate("slow", 10, 60_000, 4, 0),
                                candidate("quick", 10, 5_000, 1, 0),
                                candidate("heavy", 10, 10_000, 8, 0)),
                        100,
                        0);

        assertThat(order.stream().map(load -> load.name().value()).toList())
                .containsExactly("heavy", "quick", "slow")
                .inOrder();
    }

    @Test
    void smithOrderDoesNotStarveASlowLoad() {
        LoadCandidate slow = candidate("slow", 10, 60_000, 1, 0);
        long nowMs = 20 * AGEING_MS;

        List<LoadCandidate> order =
                new SmithLoadOrder(AGEING_MS).order(List.of(candidate("quick", 10, 5_000, 1, nowMs), slow), 100, nowMs);

        assertThat(order.get(0)).isEqualTo(slow);
    }

    @Property(tries = 200, seed = "20261201")
    void ordersNeverExceedTheAvailableMemory(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LoadCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            candidates.add(
                    candidate("m" + i, 1 + random.nextInt(100), 1 + random.nextInt(9_999), random.nextDouble(), i));
        }
        int availableMb = random.nextInt(300);
        for (LoadOrder order : List.of(new FifoLoadOrder(), new SmithLoadOrder(AGEING_MS), new PopularityLoadOrder())) {
            List<LoadCandidate> chosen = order.order(candidates, availableMb, 100);
            assertThat(chosen).containsNoDuplicates();
            assertThat(chosen.stream().mapToInt(LoadCandidate::memoryMb).sum()).isAtMost(availableMb);
        }
    }

    @Property(tries = 200, seed = "20261202")
    void evictionFreesEnoughMemoryOrNothing(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<EvictionCandidate> idle = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            idle.add(new EvictionCandidate(
                    ModelName.of("m" + i), 1 + random.nextInt(50), random.nextInt(9_999), random.nextDouble(), i));
        }
        int neededMb = 1 + random.nextInt(400);
        for (EvictionPolicy eviction :
                List.of(OrderedEviction.leastRecentlyUsed(), OrderedEviction.cheapestToReload(2))) {
            List<EvictionCandidate> chosen = eviction.choose(idle, neededMb, 0);
            assertThat(idle).containsAtLeastElementsIn(chosen);
            assertThat(chosen).containsNoDuplicates();
            int freedMb = chosen.stream().mapToInt(EvictionCandidate::memoryMb).sum();
            assertThat(chosen.isEmpty() || freedMb >= neededMb).isTrue();
            int allMb = idle.stream().mapToInt(EvictionCandidate::memoryMb).sum();
            assertThat(chosen.isEmpty()).isEqualTo(allMb < neededMb);
        }
    }

    @Test
    void evictionKeepsModelsThatAreCostlyToReload() {
        EvictionCandidate costly = new EvictionCandidate(ModelName.of("costly"), 10, 80_000, 1, 0);
        EvictionCandidate cheap = new EvictionCandidate(ModelName.of("cheap"), 10, 2_000, 2, 100);

        assertThat(OrderedEviction.cheapestToReload(2).choose(List.of(costly, cheap), 10, 200))
                .containsExactly(cheap);
        assertThat(OrderedEviction.leastRecentlyUsed().choose(List.of(costly, cheap), 10, 200))
                .containsExactly(costly);
    }

    @ParameterizedTest
    @CsvSource({
        // ordinal, queued, lowerReachable, lowerReplicas, lowerReadyInMs, loadMs, deadlineInMs, loads
        "0, 1, true, 0, 0, 90000, 1000, true",
        "0, 0, true, 0, 0, 1000, 1000, false",
        "1, 1, false, 0, 0, 90000, 1000, true",
        "1, 1, true, 0, 0, 1000, 100000, false",
        "1, 4, true, 1, 0, 20000, 100000, false",
        "1, 200, true, 1, 0, 20000, 100000, true",
        "1, 40, true, 1, 0, 20000, 30000, true",
        "1, 40, true, 1, 0, 20000, 100000, false",
        "2, 200, true, 1, 0, 20000, 100000, false",
        "1, 4, true, 1, 80000, 10000, 100000, true",
    })
    void furtherReplicasLoadOnlyWhenLowerOrdinalsDoNotSuffice(
            int ordinal,
            int queued,
            boolean lowerReachable,
            int lowerReplicas,
            long lowerReadyInMs,
            long loadMs,
            long deadlineInMs,
            boolean loads) {
        ReplicaLoadInput input = new ReplicaLoadInput(
                queued, lowerReachable, lowerReplicas, lowerReadyInMs, 8 * lowerReplicas, 6_000, loadMs, deadlineInMs);

        assertThat(new OrdinalLoadRule().shouldLoad(ordinal, input)).isEqualTo(loads);
    }

    @Test
    void adaptiveConcurrencyFallsOnRejectionsToOneLoad() {
        AdaptiveLoadConcurrency concurrency = new AdaptiveLoadConcurrency(4, 8);
        for (int i = 0; i < 20; i++) {
            concurrency.onRateLimited(0, 0);
        }

        assertThat(concurrency.mayStart(0, 0)).isFalse();
        assertThat(concurrency.mayStart(0, 10_000)).isTrue();
        assertThat(concurrency.mayStart(1, 10_000)).isFalse();
    }

    @Test
    void adaptiveConcurrencyGrowsWhileLoadsKeepTheirSpeed() {
        AdaptiveLoadConcurrency concurrency = new AdaptiveLoadConcurrency(1, 3);
        for (int i = 0; i < 20; i++) {
            concurrency.onCompleted(1_000, 1_000, 3, i);
        }

        assertThat(concurrency.mayStart(2, 100)).isTrue();
        assertThat(concurrency.mayStart(3, 100)).isFalse();
    }
}
