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

/** Two offices plan and confirm in random order while the table service fails at random. */
final class ConfirmPropertyTest {
    private static final int STEPS = 30;

    @Property(tries = 200, seed = "20260106")
    void everyAnswerIsTrueAndNothingReverts(@ForAll Random random) {
        new Run().run(random);
    }

    /** One sequence, from an empty start. */
    private static final class Run {

        private final Offices offices = new Offices().begun();
        private final List<Plan> made = new ArrayList<>();
        private final Map<String, Configuration> confirmed = new HashMap<>();
        private final Set<String> certainlyNot = new HashSet<>();
        private long highest = 1;

        void run(Random random) {
            for (int step = 0; step < STEPS; step++) {
                breakSomething(random);
                if (made.isEmpty() || random.nextInt(3) == 0) {
                    makePlan(random);
                } else {
                    confirm(made.get(random.nextInt(made.size())), random);
                }
                offices.table.heal();
                long version = offices.headVersion();
                assertThat(version).isAtLeast(highest);
                highest = version;
            }
            checkHistory();
        }

        private void breakSomething(Random random) {
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
            OfficeId office = random.nextBoolean() ? Offices.NORTH : Offices.SOUTH;
            Either<PlanRefusal, Plan> plan =
                    offices.north.plan(office, Offices.setting("maxConcurrent", 1 + random.nextInt(50)));
            plan.peek(made::add);
        }

        private void confirm(Plan plan, Random random) {
            if (random.nextInt(4) == 0) {
                // The rival's whole confirm falls between this one's look at the head and its write.
                Plan rival = made.get(random.nextInt(made.size()));
                offices.table.beforeNextTransaction(() -> confirm(rival, random));
            }
            PlanDesk desk = random.nextBoolean() ? offices.north : offices.south;
            Either<ConfirmRefusal, Confirmation> answer = desk.confirm(plan.office(), plan.id());
            String id = plan.id().value();
            if (answer.isRight()) {
                Configuration configuration = answer.get().configuration();
                assertThat(configuration.planId()).isEqualTo(id);
                assertThat(certainlyNot).doesNotContain(id);
                confirmed.putIfAbsent(id, configuration);
                assertThat(confirmed).containsEntry(id, configuration);
                return;
            }
            ConfirmRefusal refusal = answer.getLeft();
            refusal.freshPlan().ifPresent(made::add);
            if (refusal.failure().code() == ResultCode.STALE_PLAN) {
                assertThat(refusal.failure().code().execution()).isEqualTo(Execution.NOT_RUN);
                assertThat(confirmed).doesNotContainKey(id);
                certainlyNot.add(id);
            }
        }

        private void checkHistory() {
            for (long version = 1; version <= highest; version++) {
                Configuration snapshot =
                        offices.configurations.snapshot(version).get().orElseThrow();
                assertThat(snapshot.version()).isEqualTo(version);
                assertThat(certainlyNot).doesNotContain(snapshot.planId());
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
