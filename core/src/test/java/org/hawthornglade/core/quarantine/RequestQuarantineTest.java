package org.hawthornglade.core.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.PromptPartId;
import org.hawthornglade.core.id.RequestDigest;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.quarantine.PromptQuarantine.Role;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which requests are refused after crashes, by what comes again and what is completed. */
class RequestQuarantineTest {
    private static final Route ROUTE =
            new Route("r", "h.example", "/r/", CallKind.SAFE, 3_000, 386, 0, 3_000, 2, 0, false, List.of());
    private static final long START_MS = 10_000;
    /** How long the deadly request runs before its instance crashes. */
    private static final long RUN_MS = 80;
    /** The bound of the users for a decision after the third crash. */
    private static final long DECIDED_WITHIN_MS = 3_000;

    private final PromptQuarantine leader = new PromptQuarantine("leader", new PromptQuarantine.Listener() {});
    private final PromptQuarantine follower = new PromptQuarantine("follower", new PromptQuarantine.Listener() {});
    private long nowMs = START_MS;
    private int crashes;

    @BeforeEach
    void assignRoles() {
        leader.onRole(Role.LEADING, 0);
        follower.onRole(Role.FOLLOWING, 0);
    }

    /** Creates a call from the digest of its request, and the shared parts of its prompt after a slash. */
    private static CallView call(String request) {
        int slash = request.indexOf('/');
        String digest = slash < 0 ? request : request.substring(0, slash);
        Optional<ModelDemand> demand = slash < 0 ? Optional.empty() : Optional.of(demand(request.substring(slash + 1)));
        return new CallView(
                ServiceName.of("desk"), ROUTE, demand, 0, 5_000, () -> Optional.of(new RequestDigest(digest)));
    }

    private static ModelDemand demand(String part) {
        List<PromptPart> prefix = Stream.of(part, "own")
                .map(id -> new PromptPart(PromptPartId.of(id), 100))
                .toList();
        return new ModelDemand(ModelName.of("m"), Optional.empty(), 300, 10, prefix);
    }

    private void exchange() {
        leader.onReport("follower", follower.report(), nowMs);
        leader.onReport("leader", leader.report(), nowMs);
        leader.check(nowMs);
        follower.onUpdate(leader.update());
        follower.check(nowMs);
    }

    /**
     * Carries out one step: {@code !} before the calls that a crash cuts off together, {@code -} for a pause, else a
     * completed answer.
     */
    private void step(String step) {
        if (step.equals("-")) {
            nowMs += Suspects.MIN_GAP_MS;
            exchange();
            return;
        }
        if (!step.startsWith("!")) {
            follower.onCompleted(call(step), ++nowMs);
            exchange();
            return;
        }
        long sentAtMs = nowMs;
        nowMs += RUN_MS;
        crash(step.substring(1), sentAtMs);
    }

    private void crash(String calls, long sentAtMs) {
        InstanceCrash crash = new InstanceCrash(InstanceId.of("i-" + crashes++), 1);
        PromptQuarantine at = crashes % 2 == 0 ? leader : follower;
        for (String each : Splitter.on('+').split(calls)) {
            at.onCrash(crash, call(each), sentAtMs, nowMs, nowMs);
        }
        exchange();
    }

    private void settle() {
        for (int i = 0; i < 10; i++) {
            nowMs += Suspects.SETTLE_MS;
            exchange();
        }
    }

    private static boolean refused(PromptQuarantine at, String request, long nowMs) {
        return at.screen(call(request), nowMs).isPresent();
    }

    static Stream<Arguments> histories() {
        return Stream.of(
                Arguments.of("two crashes", "!R !R", "", "R"),
                Arguments.of("three, close to each other", "!R !R !R", "R", "S"),
                Arguments.of("beside other requests", "!R+S !R+T !R+U", "R", "S T U"),
                Arguments.of("beside one that is completed after", "!R+S !R+S S !R+S S", "R", "S"),
                Arguments.of("beside one that is completed in between", "!R+S !R+S S !R+S", "R", "S"),
                Arguments.of("completed by another caller in between", "!R !R R !R", "", "R"),
                Arguments.of("completed after the last", "!R !R !R R", "", "R"),
                Arguments.of("two requests that come together, three times", "!R+S !R+S !R+S", "", "R S"),
                Arguments.of("until one comes without the other", "!R+S !R+S !R+S !R", "R", "S"),
                Arguments.of("two that always come together", "!R+S !R+S !R+S !R+S !R+S", "R S", "T"),
                Arguments.of("one request of a sound part", "!R/p !R/p !R/p", "R/p", "S/p"),
                Arguments.of("of a part that is completed", "!R/p !R/p !R/p S/p", "R/p", "S/p"),
                Arguments.of("a deadly part, one request thrice", "!R/p - !R/p - !R/p - !S/p - !T/p", "R/p U/p", "S/q"),
                Arguments.of("a later crash of a sound part", "!R/p - !R/p - !R/p - !S/p", "R/p", "S/p"));
    }

    /** A request that came again crashed instance after instance; no part of a prompt was to blame. */
    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("histories")
    void requestThatCrashesInstancesIsRefusedAndNoOther(String name, String steps, String refused, String sent) {
        Splitter.on(' ').split(steps).forEach(this::step);
        long lastCrashMs = nowMs;
        settle();
        assertThat(nowMs).isAtMost(lastCrashMs + DECIDED_WITHIN_MS);
        for (PromptQuarantine at : List.of(leader, follower)) {
            words(refused)
                    .forEach(each -> assertWithMessage(each)
                            .that(refused(at, each, nowMs))
                            .isTrue());
            words(sent)
                    .forEach(each -> assertWithMessage(each)
                            .that(refused(at, each, nowMs))
                            .isFalse());
        }
    }

    private static Stream<String> words(String text) {
        return Splitter.on(' ').omitEmptyStrings().splitToStream(text);
    }

    /** A cause outside the requests ends several instances at once, and with them copies of a popular request. */
    @Test
    void requestThatWasRunningAtSeveralInstancesWhenTheyEndedIsNotRefused() {
        long sentAtMs = nowMs;
        for (int i = 0; i < 6; i++) {
            nowMs += 10;
            crash("R", sentAtMs);
        }
        settle();
        assertThat(refused(leader, "R", nowMs)).isFalse();
    }

    /** An entry without a leader knows only its own calls, so it refuses on more crashes, but not never. */
    @ParameterizedTest
    @CsvSource({"3, false", "5, true"})
    void entryWithoutALeaderRefusesARequestAfterMoreCrashes(int ownCrashes, boolean refused) {
        PromptQuarantine alone = new PromptQuarantine("alone", new PromptQuarantine.Listener() {});
        alone.onRole(Role.WITHOUT_LEADER, nowMs);
        for (int i = 0; i < ownCrashes; i++) {
            alone.onCrash(new InstanceCrash(InstanceId.of("i-" + i), 1), call("R"), nowMs, nowMs + RUN_MS, nowMs);
            nowMs += RUN_MS;
        }
        nowMs += PromptQuarantine.WITHOUT_LEADER_MS;
        alone.check(nowMs);
        assertThat(refused(alone, "R", nowMs)).isEqualTo(refused);
        assertThat(refused(alone, "S", nowMs)).isFalse();
    }

    /** A request that is a suspect must not go on to a further instance. */
    @ParameterizedTest
    @ValueSource(strings = {"R", "R/p"})
    void requestThatWasCutOffByACrashIsSuspected(String request) {
        step("!" + request);
        PromptQuarantine reporter = follower;
        assertThat(reporter.suspected(call(request))).isTrue();
        assertThat(reporter.suspected(call("S"))).isFalse();
    }

    /** A verdict without an end would refuse a request for ever, though its service was mended. */
    @Test
    void completedTrialEndsTheQuarantine() {
        Stream.of("!R/p", "!R/p", "!R/p").forEach(this::step);
        settle();
        assertThat(refused(follower, "R/p", nowMs)).isTrue();
        nowMs += QuarantinedPart.FIRST_DURATION_MS;
        assertThat(refused(follower, "R/p", nowMs)).isTrue();
        exchange();
        exchange();
        assertThat(refused(follower, "R/p", nowMs)).isFalse();
        assertThat(refused(follower, "R/p", nowMs)).isTrue();
        step("R/p");
        assertThat(refused(follower, "R/p", nowMs)).isFalse();
        assertThat(refused(leader, "S/p", nowMs)).isFalse();
    }
}
