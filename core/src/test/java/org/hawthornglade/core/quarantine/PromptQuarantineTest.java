package org.hawthornglade.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Decision;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.PromptPartId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.quarantine.PromptQuarantine.Role;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PromptQuarantineTest {
    private static final long GAP_MS = Suspects.MIN_GAP_MS;
    private static final long START_MS = 10_000;
    private static final long BLAMED_MS = START_MS + 3 * GAP_MS + Suspects.SETTLE_MS;
    private static final long TRIAL_MS = BLAMED_MS + QuarantinedPart.FIRST_DURATION_MS;
    private static final Route ROUTE =
            new Route("r", "h.example", "/r/", CallKind.STREAM, 15_000, 800, 500, 4_000, 2, 0, true, List.of());

    private final List<String> events = new ArrayList<>();
    private final PromptQuarantine leader = new PromptQuarantine("leader", new Recorder());
    private final PromptQuarantine follower = new PromptQuarantine("follower", new Recorder());
    private int crashes;

    @BeforeEach
    void assignRoles() {
        leader.onRole(Role.LEADING, 0);
        follower.onRole(Role.FOLLOWING, 0);
    }

    private static CallView call(String... parts) {
        List<PromptPart> prefix = Stream.of(parts)
                .map(id -> new PromptPart(PromptPartId.of(id), 100))
                .toList();
        ModelDemand demand = new ModelDemand(ModelName.of("m"), Optional.empty(), 300, 10, prefix);
        return new CallView(ServiceName.of("drafts"), ROUTE, Optional.of(demand), 0, 5_000);
    }

    private void crash(PromptQuarantine at, CallView call, long atMs) {
        at.onCrash(new InstanceCrash(InstanceId.of("i-" + crashes++), 1), call, atMs, atMs, atMs);
    }

    /** Carries the report of the follower to the leader and the update of the leader back. */
    private void exchange(long nowMs) {
        leader.onReport("follower", follower.report(), nowMs);
        leader.onReport("leader", leader.report(), nowMs);
        leader.check(nowMs);
        follower.onUpdate(leader.update());
        follower.check(nowMs);
    }

    private void quarantine() {
        for (int i = 1; i <= 3; i++) {
            crash(i == 2 ? leader : follower, call("a", "dead", "own" + i), START_MS + i * GAP_MS);
            follower.onCompleted(call("a", "b", "own"), START_MS + i * GAP_MS + 1);
            exchange(START_MS + i * GAP_MS + 2);
        }
        exchange(BLAMED_MS);
    }

    private static Optional<ResultCode> refusal(PromptQuarantine at, CallView call, long nowMs) {
        return at.screen(call, nowMs).map(Decision.Refuse::code);
    }

    @Test
    void partThatCrashedInstancesOfSeveralEntriesIsRefusedAtAll() {
        quarantine();
        for (PromptQuarantine each : List.of(leader, follower)) {
            assertThat(refusal(each, call("a", "dead", "own"), BLAMED_MS))
                    .isEqualTo(Optional.of(ResultCode.PROMPT_QUARANTINED));
            assertThat(refusal(each, call("a", "b", "own"), BLAMED_MS)).isEqualTo(Optional.empty());
            assertThat(refusal(each, call("a", "b", "dead"), BLAMED_MS)).isEqualTo(Optional.empty());
        }
        assertThat(events).contains("quarantined dead 1");
    }

    /** A caller that must not ask again must not be told to come back in a second. */
    @Test
    void refusedCallerIsToldTheEndOfTheQuarantine() {
        quarantine();
        long afterMs = BLAMED_MS + 1_000;
        assertThat(follower.screen(call("dead", "own"), afterMs).orElseThrow().retryAfterMs())
                .isEqualTo(QuarantinedPart.FIRST_DURATION_MS - 1_000);
        assertThat(follower.screen(call("dead", "own"), TRIAL_MS).orElseThrow().retryAfterMs())
                .isEqualTo(PromptQuarantine.MIN_RETRY_AFTER_MS);
    }

    /** A rare sound part came with the deadly one each time; its sound calls must go on being served. */
    @Test
    void partsAlwaysTogetherAreRefusedTogetherUntilOneOfThemIsCleared() {
        for (int i = 1; i <= 3; i++) {
            crash(follower, call("b", "dead", "own"), START_MS + i * GAP_MS);
            exchange(START_MS + i * GAP_MS + 1);
        }
        exchange(BLAMED_MS);
        assertThat(refusal(follower, call("b", "dead", "own"), BLAMED_MS)).isPresent();
        assertThat(refusal(follower, call("b", "own"), BLAMED_MS)).isEqualTo(Optional.empty());
        assertThat(refusal(leader, call("dead", "own"), BLAMED_MS)).isEqualTo(Optional.empty());
        follower.onCompleted(call("b", "own"), BLAMED_MS + 1);
        exchange(BLAMED_MS + 2);
        assertThat(refusal(leader, call("dead", "own"), BLAMED_MS + 2)).isPresent();
        assertThat(refusal(follower, call("dead", "own"), BLAMED_MS + 2)).isPresent();
        assertThat(refusal(follower, call("b", "own"), BLAMED_MS + 2)).isEqualTo(Optional.empty());
    }

    /** A new leader hears of answers from before the crashes, which do not clear a part that crashes since then. */
    @Test
    void answerCompletedBeforeTheCrashesEndsNoQuarantine() {
        follower.onCompleted(call("dead", "own"), START_MS);
        for (int i = 1; i <= 5; i++) {
            crash(follower, call("dead", "own"), START_MS + i * GAP_MS);
            exchange(START_MS + i * GAP_MS + 1);
        }
        exchange(START_MS + 5 * GAP_MS + Suspects.SETTLE_MS);
        assertThat(leader.size()).isEqualTo(1);
        PromptQuarantine next = new PromptQuarantine("next", new Recorder());
        next.onRole(Role.LEADING, BLAMED_MS);
        follower.onRole(Role.FOLLOWING, BLAMED_MS);
        next.onReport("follower", follower.report(), BLAMED_MS);
        assertThat(next.size()).isEqualTo(1);
    }

    @Test
    void entryThatStartsLateLearnsTheQuarantineFromTheLeader() {
        quarantine();
        PromptQuarantine late = new PromptQuarantine("late", new Recorder());
        late.onRole(Role.FOLLOWING, BLAMED_MS);
        late.onUpdate(leader.update());
        assertThat(refusal(late, call("dead", "own"), BLAMED_MS)).isPresent();
    }

    @Test
    void newLeaderLearnsTheQuarantineFromItsFollowers() {
        quarantine();
        PromptQuarantine next = new PromptQuarantine("next", new Recorder());
        next.onRole(Role.LEADING, BLAMED_MS);
        follower.onRole(Role.WITHOUT_LEADER, BLAMED_MS);
        follower.onRole(Role.FOLLOWING, BLAMED_MS);
        follower.onUpdate(next.update());
        assertThat(refusal(follower, call("dead", "own"), BLAMED_MS)).isPresent();
        next.onReport("follower", follower.report(), BLAMED_MS);
        assertThat(refusal(next, call("dead", "own"), BLAMED_MS)).isPresent();
    }

    @Test
    void newLeaderBlamesNoPartBeforeTheEntriesHaveReported() {
        leader.onRole(Role.WITHOUT_LEADER, START_MS);
        for (int i = 1; i <= 3; i++) {
            crash(leader, call("dead", "own"), START_MS + i * GAP_MS);
        }
        leader.onRole(Role.LEADING, BLAMED_MS);
        leader.check(BLAMED_MS + PromptQuarantine.COLLECTION_MS - 1);
        assertThat(leader.size()).isEqualTo(0);
        leader.check(BLAMED_MS + PromptQuarantine.COLLECTION_MS);
        assertThat(leader.size()).isEqualTo(1);
    }

    /** An entry without a leader knows only its own calls, so that it needs more crashes and some time. */
    @ParameterizedTest
    @CsvSource({"4, 5000, 0", "5, 4999, 0", "5, 5000, 1"})
    void entryWithoutLeaderDecidesForItself(int count, long sinceMs, int blamed) {
        follower.onRole(Role.WITHOUT_LEADER, START_MS);
        for (int i = 1; i <= count; i++) {
            crash(follower, call("dead", "own"), START_MS + i * GAP_MS);
        }
        follower.check(START_MS + sinceMs);
        assertThat(follower.size()).isEqualTo(blamed);
    }

    @ParameterizedTest
    @CsvSource({"a b own, false", "dead b own, true", "a b dead, false"})
    void callWithASuspectIsNotSentToAnotherInstance(String parts, boolean suspected) {
        crash(leader, call("dead", "own"), START_MS);
        assertThat(leader.suspected(call(parts.split(" ")))).isEqualTo(suspected);
        exchange(START_MS + 1);
        assertThat(follower.suspected(call(parts.split(" ")))).isEqualTo(suspected);
    }

    @Test
    void completedAnswerAtAnyEntryClearsASuspect() {
        crash(leader, call("a", "own"), START_MS);
        exchange(START_MS + 1);
        follower.onCompleted(call("a", "own"), START_MS + 2);
        exchange(START_MS + 3);
        assertThat(leader.suspected(call("a", "own"))).isFalse();
        assertThat(events).contains("cleared a");
    }

    /** A new leader blamed a sound part: its crashes were reported by one entry after its answers by another. */
    @Test
    void crashThatIsReportedAfterALaterAnswerBlamesNoPart() {
        crash(follower, call("b", "own"), START_MS);
        exchange(START_MS + 1);
        follower.onCompleted(call("b", "own"), START_MS + 4 * GAP_MS);
        exchange(START_MS + 4 * GAP_MS + 1);
        PromptQuarantine other = new PromptQuarantine("other", new Recorder());
        other.onRole(Role.FOLLOWING, 0);
        for (int i = 1; i <= 3; i++) {
            crash(other, call("b", "own"), START_MS + i * GAP_MS);
        }
        leader.onReport("other", other.report(), START_MS + 4 * GAP_MS + 2);
        leader.check(START_MS + 10 * GAP_MS);
        assertThat(leader.size()).isEqualTo(0);
    }

    private int sent(PromptQuarantine at, long nowMs) {
        int sent = 0;
        for (int i = 0; i < 5; i++) {
            sent += at.screen(call("dead", "own"), nowMs).isEmpty() ? 1 : 0;
        }
        return sent;
    }

    /** After its time the part is tried by one call of one entry, whatever the number of entries and calls. */
    @Test
    void oneCallTriesThePartAfterTheQuarantine() {
        quarantine();
        assertThat(sent(follower, TRIAL_MS - 1) + sent(leader, TRIAL_MS - 1)).isEqualTo(0);
        exchange(TRIAL_MS - 1);
        assertThat(sent(follower, TRIAL_MS) + sent(leader, TRIAL_MS)).isEqualTo(0);
        exchange(TRIAL_MS);
        assertThat(sent(follower, TRIAL_MS + 1) + sent(leader, TRIAL_MS + 1)).isEqualTo(1);
        exchange(TRIAL_MS + 1);
        assertThat(sent(follower, TRIAL_MS + 2) + sent(leader, TRIAL_MS + 2)).isEqualTo(0);
    }

    @Test
    void crashDuringTheTrialDoublesTheQuarantine() {
        quarantine();
        sent(follower, TRIAL_MS);
        exchange(TRIAL_MS);
        assertThat(sent(follower, TRIAL_MS + 1)).isEqualTo(1);
        crash(follower, call("dead", "own"), TRIAL_MS + 2);
        exchange(TRIAL_MS + 3);
        long endMs = TRIAL_MS + 2 + 2 * QuarantinedPart.FIRST_DURATION_MS;
        sent(follower, endMs);
        exchange(endMs);
        assertThat(sent(follower, endMs)).isAtMost(1);
        assertThat(events).contains("quarantined dead 2");
    }

    @Test
    void completedAnswerDuringTheTrialEndsTheQuarantine() {
        quarantine();
        sent(follower, TRIAL_MS);
        exchange(TRIAL_MS);
        follower.onCompleted(call("dead", "own"), TRIAL_MS + 1);
        exchange(TRIAL_MS + 2);
        assertThat(sent(leader, TRIAL_MS + 3)).isEqualTo(5);
        assertThat(sent(follower, TRIAL_MS + 3)).isEqualTo(5);
        assertThat(events).contains("released dead");
    }

    @Test
    void trialWithoutAnOutcomeIsFollowedByAnotherQuarantine() {
        quarantine();
        sent(follower, TRIAL_MS);
        exchange(TRIAL_MS);
        exchange(TRIAL_MS + PromptQuarantine.TRIAL_MS + 1);
        assertThat(sent(follower, TRIAL_MS + PromptQuarantine.TRIAL_MS + 2)).isEqualTo(0);
    }

    @Test
    void quarantineThatNoCallMeetsEndsByItself() {
        quarantine();
        exchange(BLAMED_MS + PromptQuarantine.FORGET_MS);
        assertThat(follower.size()).isEqualTo(1);
        exchange(BLAMED_MS + PromptQuarantine.FORGET_MS + 1);
        assertThat(follower.size()).isEqualTo(0);
    }

    /** Records the events, without those of single crashes. */
    private final class Recorder implements PromptQuarantine.Listener {
        @Override
        public void onSuspects(CrashReport report) {}

        @Override
        public void onCleared(Suspect part) {
            events.add("cleared " + part);
        }

        @Override
        public void onQuarantined(QuarantinedPart part) {
            events.add("quarantined " + part.part() + " " + part.quarantines());
        }

        @Override
        public void onReleased(Suspect part) {
            events.add("released " + part);
        }
    }
}
