package org.hawthornglade.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.notice.AdvertisedLimit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PermitsTest {
    private final Permits permits = new Permits();

    /** A process that was stopped for some seconds acted on a permission that had ended meanwhile. */
    @ParameterizedTest
    @CsvSource({"0, true", "599, true", "600, false", "5000, false"})
    void aPermitEndsAFixedTimeAfterTheAsk(long afterMs, boolean available) {
        permits.onUpdate(1, 1_000, 0, 1_000);
        assertThat(permits.available(1_000 + afterMs)).isEqualTo(available);
        assertThat(permits.take(1_000 + afterMs).isPresent()).isEqualTo(available);
    }

    /** News that were held up on their way lengthened what they brought. */
    @Test
    void aPermitThatArrivesLateHasEnded() {
        permits.onUpdate(1, 1_000, 0, 1_700);
        assertThat(permits.available(1_700)).isFalse();
    }

    @Test
    void aLaterPermitDoesNotLengthenAnEarlierOne() {
        permits.onUpdate(1, 1_000, 0, 1_010);
        permits.onUpdate(1, 1_500, 0, 1_510);
        assertThat(permits.take(1_700).isPresent()).isTrue();
        assertThat(permits.take(1_700).isPresent()).isFalse();
    }

    @Test
    void eachPermitIsTakenOnce() {
        permits.onUpdate(2, 1_000, 0, 1_001);
        assertThat(permits.take(1_002).isPresent()).isTrue();
        assertThat(permits.take(1_003).isPresent()).isTrue();
        assertThat(permits.take(1_004).isPresent()).isFalse();
    }

    /** Calls that can go elsewhere asked again with each answer, and each answer made them ask again. */
    @Test
    void aRefusalIsNotAnsweredByAnotherAsk() {
        permits.onLimitAdvertised(1_000);
        assertThat(permits.mayRequestBriefly(1_000)).isTrue();
        assertThat(permits.joinBriefly(1_000)).isTrue();
        assertThat(permits.joinBriefly(1_001)).isFalse();
        permits.onUpdate(0, 1_000, 3, 1_005);
        assertThat(permits.mayRequestBriefly(1_005)).isFalse();
        assertThat(permits.mayRequestBriefly(1_205)).isTrue();
    }

    @Test
    void callsThatWaitAreToldOfAtMostTenTimesASecond() {
        assertThat(permits.join(1, 1_000)).isTrue();
        permits.leave(1);
        assertThat(permits.join(1, 1_050)).isFalse();
        permits.leave(1);
        assertThat(permits.join(1, 1_100)).isTrue();
    }

    @Test
    void withoutNewsNobodyIsAsked() {
        assertThat(permits.mayRequestBriefly(1_000)).isFalse();
        permits.onUpdate(0, 900, 0, 1_000);
        assertThat(permits.leaderGrants(3_500)).isTrue();
        assertThat(permits.leaderGrants(3_501)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"1, 0, 0, 1000", "1, 2, 0, 3000", "2, 1, 2, 2000", "0.25, 0, 0, 4000"})
    void aFurtherCallComesBehindThoseThatWait(double perSecond, int here, int elsewhere, long afterMs) {
        permits.onUpdate(0, 0, elsewhere, 0);
        for (int i = 0; i < here; i++) {
            permits.join(1, 0);
        }
        assertThat(permits.expectedAtMs(perSecond, 0)).isEqualTo(afterMs);
    }

    @Test
    void theMostUrgentOfThoseThatWaitIsTold() {
        permits.join(3, 0);
        permits.join(1, 0);
        assertThat(permits.mostUrgent()).isEqualTo(1);
        permits.leave(1);
        assertThat(permits.mostUrgent()).isEqualTo(3);
    }

    private static Endpoint limited() {
        Fleet fleet = new Fleet();
        fleet.onSnapshot(List.of(Records.ready("a", List.of(), List.of())), 0);
        Endpoint endpoint = fleet.endpoint(InstanceId.of("a")).orElseThrow();
        endpoint.notices().rateLimit().update(new AdvertisedLimit(OptionalDouble.of(1), 0, 10));
        return endpoint;
    }

    /** The call waits for its connection meanwhile: the permit must not have ended when it is sent. */
    @ParameterizedTest
    @CsvSource({"100, 0, true", "700, 0, false", "700, 1, true"})
    void theRightToSendIsAskedAtTheSend(long afterMs, int laterPermits, boolean holds) {
        Endpoint endpoint = limited();
        endpoint.permits().onUpdate(1, 1_000, 0, 1_000);
        SendPermission right = new SendPermission(endpoint, 1_000);
        endpoint.permits().onUpdate(laterPermits, 1_600, 0, 1_600);
        assertThat(right.valid(1_000 + afterMs)).isEqualTo(holds);
    }

    /** A limit that was named while a call waited for its connection did not bind that call. */
    @Test
    void aLimitBindsCallsThatWaitForAConnection() {
        Fleet fleet = new Fleet();
        fleet.onSnapshot(List.of(Records.ready("a", List.of(), List.of())), 0);
        Endpoint endpoint = fleet.endpoint(InstanceId.of("a")).orElseThrow();
        SendPermission right = new SendPermission(endpoint, 0);
        assertThat(right.valid(5)).isTrue();
        endpoint.notices().rateLimit().update(new AdvertisedLimit(OptionalDouble.of(1), 0, 10));
        assertThat(right.valid(10)).isFalse();
    }
}
