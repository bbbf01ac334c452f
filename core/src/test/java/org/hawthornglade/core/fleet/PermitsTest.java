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

    /** Guards against using a permit that expired while the process was suspended for some seconds. */
    @ParameterizedTest
    @CsvSource({"0, true", "599, true", "600, false", "5000, false"})
    void permitExpiresAFixedTimeAfterItsRequest(long afterMs, boolean available) {
        permits.onUpdate(1, 1_000, 0, 1_000);
        assertThat(permits.available(1_000 + afterMs)).isEqualTo(available);
        assertThat(permits.take(1_000 + afterMs).isPresent()).isEqualTo(available);
    }

    /** A delayed update must not extend the lifetime of its permits. */
    @Test
    void permitThatArrivesLateHasExpired() {
        permits.onUpdate(1, 1_000, 0, 1_700);
        assertThat(permits.available(1_700)).isFalse();
    }

    @Test
    void laterPermitDoesNotExtendAnEarlierOne() {
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

    /** Guards against a loop in which each refusal makes the calls that can go elsewhere request a permit again. */
    @Test
    void refusalDoesNotTriggerAnotherRequest() {
        permits.onLimitAdvertised(1_000);
        assertThat(permits.mayRequestBriefly(1_000)).isTrue();
        assertThat(permits.joinBriefly(1_000)).isTrue();
        assertThat(permits.joinBriefly(1_001)).isFalse();
        permits.onUpdate(0, 1_000, 3, 1_005);
        assertThat(permits.mayRequestBriefly(1_005)).isFalse();
        assertThat(permits.mayRequestBriefly(1_205)).isTrue();
    }

    @Test
    void leaderIsNotifiedOfWaitingCallsAtMostTenTimesASecond() {
        assertThat(permits.join(1, 1_000)).isTrue();
        permits.leave(1);
        assertThat(permits.join(1, 1_050)).isFalse();
        permits.leave(1);
        assertThat(permits.join(1, 1_100)).isTrue();
    }

    @Test
    void noPermitIsRequestedWithoutUpdates() {
        assertThat(permits.mayRequestBriefly(1_000)).isFalse();
        permits.onUpdate(0, 900, 0, 1_000);
        assertThat(permits.leaderGrants(3_500)).isTrue();
        assertThat(permits.leaderGrants(3_501)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"1, 0, 0, 1000", "1, 2, 0, 3000", "2, 1, 2, 2000", "0.25, 0, 0, 4000"})
    void expectedTimeCountsTheCallsThatWait(double perSecond, int local, int others, long afterMs) {
        permits.onUpdate(0, 0, others, 0);
        for (int i = 0; i < local; i++) {
            permits.join(1, 0);
        }
        assertThat(permits.expectedAtMs(perSecond, 0)).isEqualTo(afterMs);
    }

    @Test
    void mostUrgentIsThatOfTheWaitingCalls() {
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

    /** A call may wait for its connection after it took a permit: the permit must still be valid when it is sent. */
    @ParameterizedTest
    @CsvSource({"100, 0, true", "700, 0, false", "700, 1, true"})
    void permissionIsCheckedWhenTheRequestIsSent(long afterMs, int laterPermits, boolean valid) {
        Endpoint endpoint = limited();
        endpoint.permits().onUpdate(1, 1_000, 0, 1_000);
        SendPermission permission = new SendPermission(endpoint, 1_000);
        endpoint.permits().onUpdate(laterPermits, 1_600, 0, 1_600);
        assertThat(permission.valid(1_000 + afterMs)).isEqualTo(valid);
    }

    /** Guards against ignoring a limit that was advertised while a call waited for its connection. */
    @Test
    void limitAppliesToCallsThatWaitForAConnection() {
        Fleet fleet = new Fleet();
        fleet.onSnapshot(List.of(Records.ready("a", List.of(), List.of())), 0);
        Endpoint endpoint = fleet.endpoint(InstanceId.of("a")).orElseThrow();
        SendPermission permission = new SendPermission(endpoint, 0);
        assertThat(permission.valid(5)).isTrue();
        endpoint.notices().rateLimit().update(new AdvertisedLimit(OptionalDouble.of(1), 0, 10));
        assertThat(permission.valid(10)).isFalse();
    }
}
