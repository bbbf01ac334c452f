package org.hawthornglade.ports.configuration;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.plan.PlanRefusal;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.table.FakeTable.Fault;

/** Lets two offices plan and confirm in random order while the table service fails at random. */
final class ConfirmPropertyTest {
    private static final int STEPS = 30;

    @Property(tries = 200, seed = "20260106")
    void everyResponseIsCorrectAndNoConfirmIsReverted(@ForAll Random random) {
        new Run().run(random);
    }

    /** One random sequence of plans and confirms after a first configuration. */
    private static final class Run {

        private final TwoOffices offices = new TwoOffices().withFirstConfiguration();
        private final List<Plan> plans = new ArrayList<>();
        private final Map<String, Configuration> confirmed = new HashMap<>();
        private final Set<String> knownUnconfirmed = new HashSet<>();
        private long highestVersion = 1;

        void run(Random random) {
            for (int step = 0; step < STEPS; step++) {
                injectFaults(random);
                if (plans.isEmpty() || random.nextInt(3) == 0) {
                    makePlan(random);
                } else {
                    confirm(plans.get(random.nextInt(plans.size())), random);
                }
                offices.table.clearFaults();
                long version = offices.headVersion();
                assertThat(version).isAtLeast(highestVersion);
                highestVersion = version;
            }
            checkHistory();
        }

        private void injectFaults(Random random) {
            if (random.nextInt(2) == 0) {
                return;
            }
            List<Fault> kinds = List.of(Fault.values());
            offices.table.failTransactions(List.of(kinds.get(random.nextInt(4)), kinds.get(random.nextInt(4))));
            if (random.nextInt(3) == 0) {
                Fault fault = random.nextBoolean() ? Fault.NONE : Fault.DOWN;
                offices.table.failReads(List.of(Fault.NONE, Fault.NONE, fault, fault));
            }
        }

        private void makePlan(Random random) {
            OfficeId office = random.nextBoolean() ? TwoOffices.NORTH : TwoOffices.SOUTH;
            Either<PlanRefusal, Plan> plan =
                    offices.north.plan(office, TwoOffices.setting("maxConcurrent", 1 + random.nextInt(50)));
            plan.peek(plans::add);
        }

        private void confirm(Plan plan, Random random) {
            if (random.nextInt(4) == 0) {
                // The competing plan's whole confirm falls between this confirm's read of the head and its write.
                Plan competing = plans.get(random.nextInt(plans.size()));
                offices.table.beforeNextTransaction(() -> confirm(competing, random));
            }
            PlanService planService = random.nextBoolean() ? offices.north : offices.south;
            Either<ConfirmRefusal, Confirmation> result = planService.confirm(plan.office(), plan.id());
            String id = plan.id().value();
            if (result.isRight()) {
                Configuration configuration = result.get().configuration();
                assertThat(configuration.planId()).isEqualTo(id);
                assertThat(knownUnconfirmed).doesNotContain(id);
                confirmed.putIfAbsent(id, configuration);
                assertThat(confirmed).containsEntry(id, configuration);
                return;
            }
            ConfirmRefusal refusal = result.getLeft();
            refusal.freshPlan().ifPresent(plans::add);
            if (refusal.failure().code() == ResultCode.STALE_PLAN) {
                assertThat(refusal.failure().code().execution()).isEqualTo(Execution.NOT_RUN);
                assertThat(confirmed).doesNotContainKey(id);
                knownUnconfirmed.add(id);
            }
        }

        private void checkHistory() {
            for (long version = 1; version <= highestVersion; version++) {
                Configuration snapshot =
                        offices.configurations.snapshot(version).get().orElseThrow();
                assertThat(snapshot.version()).isEqualTo(version);
                assertThat(knownUnconfirmed).doesNotContain(snapshot.planId());
            }
            confirmed
                    .values()
                    .forEach(configuration -> assertThat(offices.configurations
                                    .snapshot(configuration.version())
                                    .get())
                            .hasValue(configuration));
        }
    }
}
