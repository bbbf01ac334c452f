package org.hawthornglade.bench.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.admission.AdmissionWeights;
import org.hawthornglade.core.admission.DeadlineAdmissionQueue;
import org.hawthornglade.core.admission.ServiceEstimate;
import org.hawthornglade.core.admission.WaitingRequest;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceClass;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time to admit one request and dequeue the next while many wait. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class AdmissionBenchmark {
    private static final int CLASSES = 3;
    private static final int ORGANISATIONS = 12;
    private static final int MODELS = 45;
    private static final long DEADLINE_MS = 60_000;
    private static final ServiceEstimate ESTIMATE = new ServiceEstimate(0, 1, 1_000, 0);

    /** The number of waiting requests. */
    @Param({"400", "4000", "40000"})
    public int queued;

    private DeadlineAdmissionQueue queue;
    private long sequence;

    /** Fills the queue. */
    @Setup
    public void setUp() {
        List<ClassSpec> classes = new ArrayList<>();
        for (int i = 0; i < CLASSES; i++) {
            classes.add(new ClassSpec(ServiceClass.of("class-" + i), 1 + i, DEADLINE_MS, Integer.MAX_VALUE));
        }
        List<OrganisationSpec> organisations = new ArrayList<>();
        for (int i = 0; i < ORGANISATIONS; i++) {
            organisations.add(new OrganisationSpec(OrganisationId.of("organisation-" + i), 1, 0));
        }
        queue = new DeadlineAdmissionQueue(
                AdmissionWeights.of(new Configuration(1, "", "", 0, organisations, classes, null, null, null, null)));
        for (int i = 0; i < queued; i++) {
            queue.offer(nextRequest(), ESTIMATE, 0);
        }
    }

    private WaitingRequest nextRequest() {
        long number = sequence++;
        // Deadlines are not in order, so that each insertion searches for its place in the queue.
        long jitterMs = number * 7_919 % 30_000;
        return new WaitingRequest(
                RequestId.of("request-" + number),
                ModelName.of("model-" + number % MODELS),
                null,
                ServiceClass.of("class-" + number % CLASSES),
                OrganisationId.of("organisation-" + number / CLASSES % ORGANISATIONS),
                0,
                DEADLINE_MS + jitterMs);
    }

    /** Admits one request and dispatches one of the same model, so that the queue length stays constant. */
    @Benchmark
    public Optional<WaitingRequest> offerAndNext() {
        WaitingRequest request = nextRequest();
        queue.offer(request, ESTIMATE, 0);
        return queue.next(request.model(), 0);
    }
}
