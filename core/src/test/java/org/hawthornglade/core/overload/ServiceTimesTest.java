package org.hawthornglade.core.overload;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ServiceTimesTest {
    private static final ServiceName SERVICE = ServiceName.of("audits");
    private static final Optional<ModelName> POPULAR = Optional.of(ModelName.of("popular"));
    private static final Optional<ModelName> RARE = Optional.of(ModelName.of("rare"));

    private final ServiceTimes times = new ServiceTimes();

    private void complete(Optional<ModelName> model, int calls, long totalMs, long nowMs) {
        for (int i = 0; i < calls; i++) {
            times.onCompleted(SERVICE, model, totalMs / 4, totalMs, nowMs);
        }
    }

    /** After a start, or long after the last call, calls must not be refused by times of which little is known. */
    @ParameterizedTest
    @CsvSource({"0, 0, false", "7, 0, false", "8, 0, true", "8, 10000, true", "8, 10001, false"})
    void unknownUntilEnoughRecentCalls(int calls, long laterMs, boolean known) {
        complete(POPULAR, calls, 400, 1_000);
        assertThat(times.of(SERVICE, POPULAR, 1_000 + laterMs).isPresent()).isEqualTo(known);
    }

    /** Most of hundreds of models have few calls at one entry; they have the times of their service. */
    @Test
    void rareModelHasTheTimesOfItsService() {
        complete(POPULAR, 20, 400, 1_000);
        complete(RARE, 1, 400, 1_500);
        assertThat(times.of(SERVICE, RARE, 2_000)).isEqualTo(Optional.of(new ServiceTime(100, 400, 500)));
        assertThat(times.of(SERVICE, POPULAR, 2_000)).isEqualTo(Optional.of(new ServiceTime(100, 400, 1_000)));
    }

    /** Servers change their speed: the mean has to follow within some 20 calls, and one slow call must not decide. */
    @Test
    void meanFollowsAChangeButNotASingleCall() {
        complete(POPULAR, 50, 400, 1_000);
        complete(POPULAR, 1, 4_000, 1_100);
        assertThat(times.of(SERVICE, POPULAR, 1_100).orElseThrow().totalMs()).isLessThan(800.0);
        complete(POPULAR, 20, 1_000, 1_200);
        assertThat(times.of(SERVICE, POPULAR, 1_200).orElseThrow().totalMs())
                .isWithin(100)
                .of(1_000);
    }

    @Test
    void timesBeforeALongBreakDoNotCount() {
        complete(POPULAR, 50, 4_000, 1_000);
        complete(POPULAR, 8, 400, 20_000);
        assertThat(times.of(SERVICE, POPULAR, 20_000).orElseThrow().totalMs()).isEqualTo(400.0);
    }
}
