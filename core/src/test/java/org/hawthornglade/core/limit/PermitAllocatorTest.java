package org.hawthornglade.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.notice.AdvertisedLimit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Permits that the leader grants for an endpoint with a rate limit shared by all entries. */
class PermitAllocatorTest {
    private static final InstanceId ID = InstanceId.of("i-1");
    private static final long STEP_MS = 50;
    private static final int MOST_URGENT = 0;
    private static final int LESS_URGENT = 5;

    private final Fleet fleet = new Fleet();
    private final PermitAllocator allocator = new PermitAllocator(fleet);
    private final Map<String, Integer> granted = new LinkedHashMap<>();
    private final List<Long> grantedAtMs = new ArrayList<>();
    private long nowMs = 10_000;
    private long serial;

    PermitAllocatorTest() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
    }

    private static AdvertisedLimit limit(Double perSecond, long sentAtMs, long receivedAtMs) {
        return new AdvertisedLimit(
                perSecond == null ? OptionalDouble.empty() : OptionalDouble.of(perSecond), sentAtMs, receivedAtMs);
    }

    private static PermitRequests requests(
            long atMs, long seen, Optional<AdvertisedLimit> limit, int calls, int brief, int priority) {
        return new PermitRequests(atMs, seen, List.of(new PermitRequest(ID, 1, limit, calls, brief, priority)));
    }

    private void request(String entry, int calls, int priority, boolean confirmed) {
        deliver(allocator.onRequests(
                entry, requests(nowMs, serial, Optional.empty(), calls, 0, priority), confirmed, nowMs));
    }

    private void deliver(Set<String> entries) {
        for (String entry : entries) {
            LimitUpdate update = allocator.update(entry, nowMs);
            serial = update.serial();
            for (LimitStatus status : update.statuses()) {
                granted.merge(entry, status.permits(), Integer::sum);
                for (int i = 0; i < status.permits(); i++) {
                    grantedAtMs.add(nowMs);
                }
            }
        }
    }

    private void advertise(double perSecond) {
        allocator.onRequests(
                "e-0", requests(nowMs, 0, Optional.of(limit(perSecond, nowMs - 9, nowMs)), 0, 0, 9), true, nowMs);
    }

    private void run(int entries, long forMs, boolean confirmed) {
        long endMs = nowMs + forMs;
        while (nowMs < endMs) {
            for (int i = 0; i < entries; i++) {
                request("e-" + i, 3, LESS_URGENT, confirmed);
            }
            deliver(allocator.check(confirmed, nowMs));
            nowMs += STEP_MS;
        }
    }

    private int total() {
        return granted.values().stream().mapToInt(Integer::intValue).sum();
    }

    private long mostWithin(long windowMs) {
        return grantedAtMs.stream()
                .mapToLong(fromMs -> grantedAtMs.stream()
                        .filter(atMs -> atMs >= fromMs && atMs < fromMs + windowMs)
                        .count())
                .max()
                .orElse(0);
    }

    /** Grants are close to the limit and never above it, within the 4 s window of the rule plus a permit's lifetime. */
    @ParameterizedTest(name = "{0} a second, {1} entries")
    @CsvSource({"1, 4", "1, 31", "1, 300", "0.25, 31", "0.5, 4", "4, 31", "40, 31", "400, 31"})
    void grantsAreCloseToTheLimitAndNeverAboveIt(double perSecond, int entries) {
        advertise(perSecond);
        run(entries, 20_000, true);
        assertThat((double) total()).isAtLeast(0.9 * 20 * perSecond - 1);
        assertThat((double) total()).isAtMost(20 * perSecond + 1 + perSecond / 4);
        assertThat((double) mostWithin(4_600)).isAtMost(1.5 * 4 * perSecond + 5);
    }

    /** An endpoint with a limit near zero must be probed occasionally, or the end of its limit would go unnoticed. */
    @ParameterizedTest
    @CsvSource({"0", "0.01"})
    void endpointWithALimitNearZeroIsProbed(double perSecond) {
        advertise(perSecond);
        run(31, 20_000, true);
        assertThat(total()).isIn(List.of(4, 5, 6));
    }

    /** Another leader may have taken over while the store is unreachable: both together must stay within the limit. */
    @Test
    void leaderThatMayHaveBeenReplacedGrantsAnEighth() {
        advertise(8);
        run(4, 20_000, false);
        assertThat(total()).isAtMost(22);
        assertThat(total()).isAtLeast(15);
    }

    /** With a full bucket at each change of the leader, a rolling restart of the entries would exceed the limit. */
    @Test
    void newLeaderStartsWithEmptyBuckets() {
        advertise(1);
        run(4, 5_000, true);
        int before = total();
        allocator.reset();
        run(4, 900, true);
        assertThat(total()).isEqualTo(before);
    }

    /** A leader that was suspended must not grant afterwards what accrued in the meantime. */
    @Test
    void permitsDoNotAccumulateWhileTheLeaderIsSuspended() {
        advertise(1);
        run(4, 5_000, true);
        int before = total();
        nowMs += 10_000;
        run(4, 500, true);
        assertThat(total() - before).isAtMost(1);
    }

    @Test
    void mostUrgentCallsAreGrantedPermitsFirst() {
        advertise(1);
        for (int i = 0; i < 100; i++) {
            request("early", 1, LESS_URGENT, true);
            request("urgent", 1, MOST_URGENT, true);
            deliver(allocator.check(true, nowMs));
            nowMs += STEP_MS;
        }
        assertThat(granted).containsEntry("early", 0);
        assertThat(granted.get("urgent")).isAtLeast(4);
    }

    /** Guards against a second grant for a request that crossed the first grant on the network. */
    @Test
    void requestSentBeforeTheGrantWasReadIsNotGrantedTwice() {
        advertise(4);
        nowMs += 1_000;
        long seenBefore = serial;
        request("e-1", 1, LESS_URGENT, true);
        assertThat(total()).isEqualTo(1);
        nowMs += 300;
        deliver(allocator.onRequests(
                "e-1", requests(nowMs, seenBefore, Optional.empty(), 1, 0, LESS_URGENT), true, nowMs));
        deliver(allocator.check(true, nowMs));
        assertThat(total()).isEqualTo(1);
        request("e-1", 1, LESS_URGENT, true);
        assertThat(total()).isEqualTo(2);
    }

    @Test
    void briefCallsGetOnlyWhatWaitingCallsLeaveOver() {
        advertise(1);
        nowMs += 1_000;
        request("waits", 1, LESS_URGENT, true);
        deliver(allocator.onRequests("brief", requests(nowMs, serial, Optional.empty(), 0, 1, 9), true, nowMs));
        assertThat(granted.get("waits")).isEqualTo(1);
        assertThat(granted).containsEntry("brief", 0);
        nowMs += 1_000;
        deliver(allocator.onRequests("brief", requests(nowMs, serial, Optional.empty(), 0, 1, 9), true, nowMs));
        assertThat(granted.get("brief")).isEqualTo(1);
    }

    /** A limit that one entry receives must reach the others before their own responses show it. */
    @Test
    void limitReceivedByOneEntryIsSentToAllAtOnce() {
        request("e-1", 0, 9, true);
        request("e-2", 0, 9, true);
        Set<String> toUpdate = allocator.onRequests(
                "e-1", requests(nowMs, 0, Optional.of(limit(2.0, nowMs - 5, nowMs)), 0, 0, 9), true, nowMs);
        assertThat(toUpdate).containsExactly("e-1", "e-2");
        assertThat(allocator.update("e-2", nowMs).statuses().get(0).limit().perSecond())
                .isEqualTo(OptionalDouble.of(2));
    }

    /**
     * Entries' clocks differ and messages can be delayed: a response without a limit that is reported late must not
     * lift a limit advertised since.
     */
    @ParameterizedTest(name = "reported {0} ms late")
    @CsvSource({"0, true", "2000, false"})
    void delayedReportDoesNotCountAsNewer(long delayMs, boolean lifted) {
        long aheadMs = 500_000;
        allocator.onRequests("late", requests(nowMs - aheadMs, 0, Optional.empty(), 0, 0, 9), true, nowMs);
        nowMs += 1_000;
        long sentMs = nowMs + 100;
        allocator.onRequests(
                "e-1", requests(nowMs, 0, Optional.of(limit(1.0, nowMs - 5, nowMs)), 0, 0, 9), true, nowMs);
        if (!lifted) {
            sentMs = nowMs - 1_000;
        }
        nowMs = sentMs + 10 + delayMs;
        AdvertisedLimit none = limit(null, sentMs - aheadMs, sentMs + 8 - aheadMs);
        long reportedMs = sentMs + 10 - aheadMs;
        allocator.onRequests("late", requests(reportedMs, 0, Optional.of(none), 0, 0, 9), true, nowMs);
        assertThat(fleet.endpoint(ID)
                        .orElseThrow()
                        .notices()
                        .rateLimit()
                        .perSecond()
                        .isEmpty())
                .isEqualTo(lifted);
    }

    /** A restarted entry has a new steady clock: its reports would otherwise appear older than everything known. */
    @Test
    void reportsOfARestartedEntryCount() {
        long aheadMs = 500_000;
        request("again", 0, 9, true);
        advertise(1);
        nowMs += 1_000;
        long sentAtMs = nowMs + 100 - aheadMs;
        AdvertisedLimit none = limit(null, sentAtMs, sentAtMs + 8);
        nowMs += 110;
        allocator.onRequests("again", requests(nowMs - aheadMs, 0, Optional.of(none), 0, 0, 9), true, nowMs);
        assertThat(fleet.endpoint(ID).orElseThrow().notices().rateLimit().perSecond())
                .isEqualTo(OptionalDouble.empty());
    }

    @Test
    void restartedEndpointIsNotBoundByItsEarlierLimit() {
        advertise(1);
        fleet.onChanged(Records.record("i-1", false, 5, 1, List.of(), List.of()), nowMs);
        request("e-1", 1, LESS_URGENT, true);
        advertise(1);
        allocator.check(true, nowMs);
        assertThat(allocator.limitedEndpoints()).isEqualTo(0);
    }
}
