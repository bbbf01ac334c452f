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

/** What the leader deals of the requests that an endpoint takes from all entries together. */
class PermitAllocatorTest {
    private static final InstanceId ID = InstanceId.of("i-1");
    private static final long STEP_MS = 50;
    private static final int MOST_URGENT = 0;
    private static final int LESS_URGENT = 5;

    private final Fleet fleet = new Fleet();
    private final PermitAllocator shares = new PermitAllocator(fleet);
    private final Map<String, Integer> dealt = new LinkedHashMap<>();
    private final List<Long> dealtAtMs = new ArrayList<>();
    private long nowMs = 10_000;
    private long serial;

    PermitAllocatorTest() {
        fleet.onSnapshot(List.of(Records.ready("i-1", List.of(), List.of())), 0);
    }

    private static AdvertisedLimit word(Double perSecond, long sentAtMs, long heardAtMs) {
        return new AdvertisedLimit(
                perSecond == null ? OptionalDouble.empty() : OptionalDouble.of(perSecond), sentAtMs, heardAtMs);
    }

    private static PermitRequests asks(long atMs, long seen, Optional<AdvertisedLimit> word, int calls, int brief, int priority) {
        return new PermitRequests(atMs, seen, List.of(new PermitRequest(ID, 1, word, calls, brief, priority)));
    }

    private void ask(String entry, int calls, int priority, boolean confirmed) {
        tell(shares.onRequests(entry, asks(nowMs, serial, Optional.empty(), calls, 0, priority), confirmed, nowMs));
    }

    private void tell(Set<String> entries) {
        for (String entry : entries) {
            LimitUpdate news = shares.update(entry, nowMs);
            serial = news.serial();
            for (LimitStatus status : news.statuses()) {
                dealt.merge(entry, status.permits(), Integer::sum);
                for (int i = 0; i < status.permits(); i++) {
                    dealtAtMs.add(nowMs);
                }
            }
        }
    }

    private void names(double perSecond) {
        shares.onRequests("e-0", asks(nowMs, 0, Optional.of(word(perSecond, nowMs - 9, nowMs)), 0, 0, 9), true, nowMs);
    }

    private void play(int entries, long forMs, boolean confirmed) {
        long endMs = nowMs + forMs;
        while (nowMs < endMs) {
            for (int i = 0; i < entries; i++) {
                ask("e-" + i, 3, LESS_URGENT, confirmed);
            }
            tell(shares.check(confirmed, nowMs));
            nowMs += STEP_MS;
        }
    }

    private int total() {
        return dealt.values().stream().mapToInt(Integer::intValue).sum();
    }

    private long mostWithin(long windowMs) {
        return dealtAtMs.stream()
                .mapToLong(fromMs -> dealtAtMs.stream()
                        .filter(atMs -> atMs >= fromMs && atMs < fromMs + windowMs)
                        .count())
                .max()
                .orElse(0);
    }

    /** In the rule's window and the time for which a permit may lie: never more than is allowed, and near the limit. */
    @ParameterizedTest(name = "{0} a second, {1} entries")
    @CsvSource({"1, 4", "1, 31", "1, 300", "0.25, 31", "0.5, 4", "4, 31", "40, 31", "400, 31"})
    void whatIsDealtIsNearTheLimitAndNeverOverIt(double perSecond, int entries) {
        names(perSecond);
        play(entries, 20_000, true);
        assertThat((double) total()).isAtLeast(0.9 * 20 * perSecond - 1);
        assertThat((double) total()).isAtMost(20 * perSecond + 1 + perSecond / 4);
        assertThat((double) mostWithin(4_600)).isAtMost(1.5 * 4 * perSecond + 5);
    }

    /** A server that takes nothing is still tried now and then, or nobody would hear the end of its need. */
    @ParameterizedTest
    @CsvSource({"0", "0.01"})
    void anEndpointThatTakesNothingIsTriedNowAndThen(double perSecond) {
        names(perSecond);
        play(31, 20_000, true);
        assertThat(total()).isIn(List.of(4, 5, 6));
    }

    /** Another entry may have taken over when the store can't be reached: both together stay within the limit. */
    @Test
    void aLeaderThatMayHaveBeenReplacedDealsAnEighth() {
        names(8);
        play(4, 20_000, false);
        assertThat(total()).isAtMost(22);
        assertThat(total()).isAtLeast(15);
    }

    /** Each new leader began with a full bucket: a roll of the entries would have let much more through. */
    @Test
    void aNewLeaderBeginsWithNothingToDeal() {
        names(1);
        play(4, 5_000, true);
        int before = total();
        shares.reset();
        play(4, 900, true);
        assertThat(total()).isEqualTo(before);
    }

    /** A leader that was stopped for a while deals nothing of what it did not deal meanwhile. */
    @Test
    void nothingIsSavedUpDuringAPause() {
        names(1);
        play(4, 5_000, true);
        int before = total();
        nowMs += 10_000;
        play(4, 500, true);
        assertThat(total() - before).isAtMost(1);
    }

    @Test
    void theMostUrgentCallsAreDealtToFirst() {
        names(1);
        for (int i = 0; i < 100; i++) {
            ask("early", 1, LESS_URGENT, true);
            ask("urgent", 1, MOST_URGENT, true);
            tell(shares.check(true, nowMs));
            nowMs += STEP_MS;
        }
        assertThat(dealt).containsEntry("early", 0);
        assertThat(dealt.get("urgent")).isAtLeast(4);
    }

    /** The ask that crossed the deal on its way was answered a second time. */
    @Test
    void anAskThatWasSentBeforeTheDealWasReadIsNotDealtTwice() {
        names(4);
        nowMs += 1_000;
        long seenBefore = serial;
        ask("e-1", 1, LESS_URGENT, true);
        assertThat(total()).isEqualTo(1);
        nowMs += 300;
        tell(shares.onRequests("e-1", asks(nowMs, seenBefore, Optional.empty(), 1, 0, LESS_URGENT), true, nowMs));
        tell(shares.check(true, nowMs));
        assertThat(total()).isEqualTo(1);
        ask("e-1", 1, LESS_URGENT, true);
        assertThat(total()).isEqualTo(2);
    }

    @Test
    void callsThatCanGoElsewhereGetWhatTheOthersLeave() {
        names(1);
        nowMs += 1_000;
        ask("waits", 1, LESS_URGENT, true);
        tell(shares.onRequests("brief", asks(nowMs, serial, Optional.empty(), 0, 1, 9), true, nowMs));
        assertThat(dealt.get("waits")).isEqualTo(1);
        assertThat(dealt).containsEntry("brief", 0);
        nowMs += 1_000;
        tell(shares.onRequests("brief", asks(nowMs, serial, Optional.empty(), 0, 1, 9), true, nowMs));
        assertThat(dealt.get("brief")).isEqualTo(1);
    }

    /** A word that one entry heard must reach the others before their own answers tell them. */
    @Test
    void theLimitThatOneEntryHearsIsToldToAllAtOnce() {
        ask("e-1", 0, 9, true);
        ask("e-2", 0, 9, true);
        Set<String> toTell =
                shares.onRequests("e-1", asks(nowMs, 0, Optional.of(word(2.0, nowMs - 5, nowMs)), 0, 0, 9), true, nowMs);
        assertThat(toTell).containsExactly("e-1", "e-2");
        assertThat(shares.update("e-2", nowMs).statuses().get(0).limit().perSecond())
                .isEqualTo(OptionalDouble.of(2));
    }

    /**
     * Entries' clocks differ, and a message may be held up: an answer without a limit that is told late must not lift
     * one that was named since.
     */
    @ParameterizedTest(name = "told {0} ms late")
    @CsvSource({"0, true", "2000, false"})
    void aWordThatWasHeldUpOnItsWayIsNoNewerForIt(long heldUpMs, boolean lifted) {
        long aheadMs = 500_000;
        shares.onRequests("late", asks(nowMs - aheadMs, 0, Optional.empty(), 0, 0, 9), true, nowMs);
        nowMs += 1_000;
        long sentMs = nowMs + 100;
        shares.onRequests("e-1", asks(nowMs, 0, Optional.of(word(1.0, nowMs - 5, nowMs)), 0, 0, 9), true, nowMs);
        if (!lifted) {
            sentMs = nowMs - 1_000;
        }
        nowMs = sentMs + 10 + heldUpMs;
        AdvertisedLimit none = word(null, sentMs - aheadMs, sentMs + 8 - aheadMs);
        long reportedMs = sentMs + 10 - aheadMs;
        shares.onRequests("late", asks(reportedMs, 0, Optional.of(none), 0, 0, 9), true, nowMs);
        assertThat(fleet.endpoint(ID)
                        .orElseThrow()
                        .notices()
                        .rateLimit()
                        .perSecond()
                        .isEmpty())
                .isEqualTo(lifted);
    }

    /** Its clock begins anew, so that what it hears looked older than all that was known. */
    @Test
    void anEntryThatHasStartedAnewIsBelieved() {
        long aheadMs = 500_000;
        ask("again", 0, 9, true);
        names(1);
        nowMs += 1_000;
        long sentAtMs = nowMs + 100 - aheadMs;
        AdvertisedLimit none = word(null, sentAtMs, sentAtMs + 8);
        nowMs += 110;
        shares.onRequests("again", asks(nowMs - aheadMs, 0, Optional.of(none), 0, 0, 9), true, nowMs);
        assertThat(fleet.endpoint(ID).orElseThrow().notices().rateLimit().perSecond())
                .isEqualTo(OptionalDouble.empty());
    }

    @Test
    void anotherStartOfAnEndpointIsNotBoundByTheWordOfTheOneBefore() {
        names(1);
        fleet.onChanged(Records.record("i-1", false, 5, 1, List.of(), List.of()), nowMs);
        ask("e-1", 1, LESS_URGENT, true);
        names(1);
        shares.check(true, nowMs);
        assertThat(shares.limitedEndpoints()).isEqualTo(0);
    }
}
