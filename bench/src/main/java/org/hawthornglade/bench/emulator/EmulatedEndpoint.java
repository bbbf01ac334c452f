package org.hawthornglade.bench.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.InstanceId;

/** Emulates an endpoint whose faults are set before the run: limits, retry-after pauses and leaving. */
final class EmulatedEndpoint {
    private static final long MIN_WORK_MS = 40;
    private static final int WORK_SPREAD_MS = 200;
    private static final long NEVER_MS = Long.MAX_VALUE;

    private final InstanceRecord record;
    private final Random random;
    private final List<LimitPeriod> limits = new ArrayList<>();
    private final List<Span> pauses = new ArrayList<>();
    private long leavingAtMs = NEVER_MS;

    EmulatedEndpoint(InstanceRecord record, Random random) {
        this.record = record;
        this.random = random;
    }

    InstanceRecord record() {
        return record;
    }

    InstanceId id() {
        return record.id();
    }

    void addLimit(LimitPeriod limit) {
        limits.add(limit);
    }

    List<LimitPeriod> limits() {
        return limits;
    }

    void addPause(Span span) {
        pauses.add(span);
    }

    void setLeavingAt(long atMs) {
        leavingAtMs = atMs;
    }

    Answer answer(long nowMs) {
        boolean leaving = nowMs >= leavingAtMs;
        OptionalDouble limit = limitAt(nowMs);
        Optional<Span> pause =
                pauses.stream().filter(span -> span.contains(nowMs)).findFirst();
        return pause.map(span -> new Answer(false, leaving, span.toMs() - nowMs, limit, 0))
                .orElseGet(() -> new Answer(true, leaving, 0, limit, MIN_WORK_MS + random.nextInt(WORK_SPREAD_MS)));
    }

    OptionalDouble limitAt(long nowMs) {
        for (LimitPeriod limit : limits) {
            if (limit.span().contains(nowMs)) {
                return OptionalDouble.of(limit.perSecond());
            }
        }
        return OptionalDouble.empty();
    }
}
