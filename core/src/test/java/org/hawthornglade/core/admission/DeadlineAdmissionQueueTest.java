package org.hawthornglade.core.admission;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Admission by predicted completion, fair sharing among flows, and the retry-after times of rejected requests. */
class DeadlineAdmissionQueueTest {
    private static final ModelName MODEL = ModelName.of("m");
    private static final int MAX_QUEUED = 20;
    private static final ServiceEstimate READY = new ServiceEstimate(0, 1_000, 4, 0);

    private final DeadlineAdmissionQueue queue = new DeadlineAdmissionQueue(weights());

    private static AdmissionWeights weights() {
        List<ClassSpec> classes = List.of(
                new ClassSpec(ServiceClass.of("high"), 3, 10_000, MAX_QUEUED),
                new ClassSpec(ServiceClass.of("low"), 1, 60_000, MAX_QUEUED));
        List<OrganisationSpec> organisations = List.of(
                new OrganisationSpec(OrganisationId.of("a"), 1, 0), new OrganisationSpec(OrganisationId.of("b"), 1, 0));
        return AdmissionWeights.of(new Configuration(1, "", "", 0, organisations, classes, null, null, null, null));
    }

    private static WaitingRequest request(String id, String serviceClass, String organisation, long deadlineAtMs) {
        return new WaitingRequest(
                RequestId.of(id),
                MODEL,
                null,
                ServiceClass.of(serviceClass),
                OrganisationId.of(organisation),
                0,
                deadlineAtMs);
    }

    @ParameterizedTest
    @CsvSource({
        // readyInMs, busySlots, deadlineMs, admitted
        "0, 0, 1000, true",
        "0, 0, 999, false",
        "5000, 0, 6000, true",
        "5000, 0, 5999, false",
        "0, 4, 1250, true",
        "0, 4, 1249, false",
    })
    void admitsOnlyRequestsPredictedToBeInTime(long readyInMs, int busySlots, long deadlineMs, boolean admitted) {
        ServiceEstimate estimate = new ServiceEstimate(readyInMs, 1_000, 4, busySlots);

        Either<Failure, Admitted> answer = queue.offer(request("r", "high", "a", deadlineMs), estimate, 0);

        assertThat(answer.isRight()).isEqualTo(admitted);
        if (!admitted) {
            assertThat(answer.getLeft().code()).isEqualTo(ResultCode.DEADLINE_NOT_REACHABLE);
        }
    }

    @Test
    void theRetryAfterTimeIsWhenTheSameRequestWouldBeInTime() {
        ServiceEstimate loading = new ServiceEstimate(30_000, 1_000, 4, 0);

        Failure failure =
                queue.offer(request("r", "high", "a", 5_000), loading, 0).getLeft();

        assertThat(failure.retryAfterMs()).isEqualTo(26_000);
    }

    @Test
    void oneOrganisationCannotFillTheQueueOfAClass() {
        Failure refused = null;
        for (int i = 0; refused == null && i < MAX_QUEUED; i++) {
            refused = queue.offer(request("a" + i, "low", "a", 1_000_000), READY, 0)
                    .fold(failure -> failure, admitted -> null);
        }

        assertThat(refused.code()).isEqualTo(ResultCode.ORGANISATION_OVER_SHARE);
        assertThat(queue.offer(request("b", "low", "b", 1_000_000), READY, 0).isRight())
                .isTrue();
    }

    @Test
    void rejectsWhenTheQueueOfTheClassIsFull() {
        for (int i = 0; i < MAX_QUEUED; i++) {
            queue.offer(request("r" + i, "low", i % 2 == 0 ? "a" : "b", 1_000_000), READY, 0);
        }

        Failure failure =
                queue.offer(request("last", "low", "a", 1_000_000), READY, 0).getLeft();

        assertThat(failure.code()).isEqualTo(ResultCode.QUEUE_FULL);
        assertThat(failure.retryAfterMs()).isGreaterThan(0L);
    }

    @Test
    void theEarliestDeadlineOfAFlowGoesFirst() {
        queue.offer(request("late", "low", "a", 50_000), READY, 0);
        queue.offer(request("early", "low", "a", 20_000), READY, 0);

        assertThat(queue.next(MODEL, 0).map(next -> next.id().value())).hasValue("early");
    }

    @Test
    void shedRejectsRequestsThatALongerLoadMakesLate() {
        queue.offer(request("short", "high", "a", 5_000), READY, 0);
        queue.offer(request("long", "low", "a", 90_000), READY, 0);

        List<Refusal> shed = queue.shed(MODEL, new ServiceEstimate(40_000, 1_000, 4, 0), 100);

        assertThat(shed).hasSize(1);
        assertThat(shed.get(0).request().id().value()).isEqualTo("short");
        assertThat(shed.get(0).failure().retryAfterMs()).isGreaterThan(0L);
        assertThat(queue.size(MODEL)).isEqualTo(1);
    }

    @Property(tries = 200, seed = "20261201")
    void flowsAreServedByWeightHoweverLongTheOthersAre(@ForAll @IntRange(min = 8, max = 20) int others) {
        AdmissionQueue shared = new DeadlineAdmissionQueue(weights());
        ServiceEstimate wide = new ServiceEstimate(0, 1, 1_000, 0);
        for (int i = 0; i < others; i++) {
            shared.offer(request("h" + i, "high", i % 2 == 0 ? "a" : "b", 1_000_000), wide, 0);
        }
        shared.offer(request("only", "low", "b", 1_000_000), wide, 0);

        int dispatched = 1;
        while (!shared.next(MODEL, 0).orElseThrow().id().value().equals("only")) {
            dispatched++;
        }

        // With weight 1 against 3 + 3, the request is at most the seventh.
        assertThat(dispatched).isAtMost(7);
    }

    @Property(tries = 300, seed = "20261202")
    void everyAdmittedRequestLeavesOnceAndEveryRejectionHasARetryAfterTime(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        AdmissionQueue any = new DeadlineAdmissionQueue(weights());
        Set<RequestId> inside = new HashSet<>();
        long nowMs = 0;
        for (int step = 0; step < 200; step++) {
            nowMs += random.nextInt(400);
            ServiceEstimate estimate = new ServiceEstimate(
                    random.nextInt(3) * 2_000L, 1 + random.nextInt(2_000), 1 + random.nextInt(8), random.nextInt(9));
            List<RequestId> left = new ArrayList<>();
            switch (random.nextInt(6)) {
                case 0 -> any.next(MODEL, nowMs).ifPresent(request -> left.add(request.id()));
                case 1 -> collect(any.expire(nowMs), left);
                case 2 -> collect(any.shed(MODEL, estimate, nowMs), left);
                case 3 -> inside.stream().findFirst().flatMap(any::remove).ifPresent(r -> left.add(r.id()));
                default -> offer(any, inside, step, random, estimate, nowMs);
            }
            left.forEach(id -> assertThat(inside.remove(id)).isTrue());
            assertThat(any.size(MODEL)).isEqualTo(inside.size());
            assertThat(any.demand(MODEL, nowMs).queued()).isEqualTo(inside.size());
        }
        collect(any.expire(Long.MAX_VALUE), new ArrayList<>(inside));
        assertThat(any.size(MODEL)).isEqualTo(0);
    }

    private static void offer(
            AdmissionQueue queue,
            Set<RequestId> inside,
            int step,
            SplittableRandom random,
            ServiceEstimate estimate,
            long nowMs) {
        WaitingRequest request = new WaitingRequest(
                RequestId.of("r" + step),
                MODEL,
                null,
                ServiceClass.of(random.nextBoolean() ? "high" : "low"),
                OrganisationId.of(random.nextBoolean() ? "a" : "b"),
                nowMs,
                nowMs + random.nextInt(10_000));
        Either<Failure, Admitted> answer = queue.offer(request, estimate, nowMs);
        if (answer.isRight()) {
            inside.add(request.id());
            assertThat(answer.get().completionInMs()).isAtMost(request.deadlineAtMs() - nowMs);
        } else {
            assertThat(answer.getLeft().retryAfterMs()).isGreaterThan(0L);
        }
    }

    private static void collect(List<Refusal> refusals, List<RequestId> left) {
        for (Refusal refusal : refusals) {
            left.add(refusal.request().id());
            assertThat(refusal.failure().retryAfterMs()).isGreaterThan(0L);
            assertThat(refusal.failure().code().hasRetryAfter()).isTrue();
        }
    }
}
