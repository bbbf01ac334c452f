package org.hawthornglade.core.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plans for random fleets that report no copies, or whose models all fit.
 *
 * <p>Guards against a change of orders in deployments that the planning of copies on disks must not affect. The
 * expected hashes are those of the planner as it was before it planned copies on disks (commit 28ce2256).
 */
class UnchangedPlanTest {
    private static final int STEPS = 150;

    /** Which deployments keep their plans. */
    enum Fleet {
        /** More models than places, and engines that report no copies. */
        NO_COPIES,
        /** Places for all models, and engines that report their copies. */
        ALL_FIT
    }

    @ParameterizedTest
    @CsvSource({
        "NO_COPIES, 1, 1485078499",
        "NO_COPIES, 2, -2099346241",
        "NO_COPIES, 3, -1814126059",
        "NO_COPIES, 4, 509301506",
        "ALL_FIT, 1, 2112185822",
        "ALL_FIT, 2, 480209844",
        "ALL_FIT, 3, 422175785",
        "ALL_FIT, 4, -821506031",
    })
    void ordersAreThoseOfThePreviousPlanner(Fleet fleet, long seed, int expectedHash) {
        ReplicaFixture fixture = run(fleet, seed);
        assertThat(fixture.orders.size()).isGreaterThan(10);
        assertThat(String.join("\n", fixture.orders).hashCode()).isEqualTo(expectedHash);
    }

    private static ReplicaFixture run(Fleet fleet, long seed) {
        Random random = new Random(seed);
        int engines = 3 + random.nextInt(6);
        int models = fleet == Fleet.ALL_FIT ? 2 * engines - random.nextInt(3) : 3 * engines + random.nextInt(10);
        ReplicaFixture fixture = new ReplicaFixture(models, 1 + random.nextInt(3));
        fixture.reportsCopies = fleet == Fleet.ALL_FIT;
        for (int i = 0; i < engines; i++) {
            List<String> held = new ArrayList<>();
            for (int place = 0; place < random.nextInt(3); place++) {
                held.add("m" + (2 * i + place) % models);
            }
            fixture.engine("e" + i, held, fixture.reportsCopies ? held : List.of());
        }
        for (int step = 0; step < STEPS; step++) {
            reportDemand(fixture, models, random);
            fixture.plan();
            fixture.answer(random.nextInt(10) == 0 ? OrderOutcome.UNKNOWN : OrderOutcome.ACCEPTED);
            fixture.settle(50 + random.nextInt(1_000));
            fixture.reportWhereNeeded();
        }
        return fixture;
    }

    private static void reportDemand(ReplicaFixture fixture, int models, Random random) {
        if (random.nextInt(3) == 0) {
            fixture.waiting(random.nextInt(6_000), "m" + random.nextInt(models), "m" + random.nextInt(models) + "/x");
        }
        fixture.arrived("m" + random.nextInt(models), random.nextInt(20), 300 + random.nextInt(8_000));
        fixture.running("e0", "m" + random.nextInt(models));
    }
}
