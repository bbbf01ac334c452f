package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests gateway processes under signals by what callers get, what the endpoints receive and what the logs say. */
@Tag("process")
final class GatewayProcessTest {
    private static final int CALL_COUNT = 60;
    /** Status of the platform for a call that the gateway rejected without running it. */
    private static final int REJECTED_STATUS = 503;
    /** The advertised rate limit, in requests per second. */
    private static final double RATE_LIMIT_PER_S = 4;
    /** The limit is checked from this time after the first request received under it. */
    private static final long SETTLE_MS = 3_000;
    /** Length of the windows in which requests are counted. */
    private static final long WINDOW_MS = 4_000;
    /** How long calls are made while the endpoint advertises its limit. */
    private static final long RATE_LIMITED_MS = 14_000;

    private static final String LEADER_WON = "event=leader-won token=";
    private static final Pattern WON_TOKEN = Pattern.compile(LEADER_WON + "(\\d+)");

    @TempDir
    Path directory;

    private GatewayDeployment deployment;

    @BeforeEach
    void deploy() throws Exception {
        deployment = new GatewayDeployment(directory);
    }

    @AfterEach
    void close() throws Exception {
        deployment.close();
    }

    @Test
    void reloadCutsNoCallInFlight() throws Exception {
        CompletableFuture<List<Integer>> statuses = callInBackground(0);
        for (int i = 0; i < 3; i++) {
            deployment.entry(0).hangUp();
            deployment.awaitLogText(0, "event=reload ");
        }
        assertThat(statuses.get().stream().distinct()).containsExactly(200);
        assertThat(deployment.entry(0).isAlive()).isTrue();
        assertThat(deployment.log(0)).contains("event=reload restart_needed=false");
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"node\": ", "{\"node\": \"x\"}"})
    void invalidSettingsKeepTheCurrentOnesInForce(String invalidSettings) throws Exception {
        Files.writeString(deployment.settings(0), invalidSettings);
        deployment.entry(0).hangUp();
        deployment.awaitLogText(0, "event=reload-failed ");
        assertThat(deployment.call(0, "/read/x", "after", "none")).isEqualTo(200);
    }

    @Test
    void stopCompletesEveryReceivedCall() throws Exception {
        CompletableFuture<List<Integer>> statuses = callInBackground(0);
        deployment.entry(0).terminate();
        for (int status : statuses.get()) {
            assertThat(status).isAnyOf(200, REJECTED_STATUS);
        }
        deployment.entry(0).awaitExit();
        assertThat(deployment.call(1, "/post/x", "other", "none")).isEqualTo(200);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leadershipMovesAndOrdersKeepTheOrderOfFencingTokens(boolean killed) throws Exception {
        int leader = awaitLeader();
        int other = 1 - leader;
        assertThat(deployment.call(other, "/chat/x", "first", "m1")).isEqualTo(200);
        if (killed) {
            deployment.entry(leader).kill();
        } else {
            deployment.entry(leader).freeze();
        }
        deployment.awaitLogText(other, LEADER_WON);
        awaitServed(other, "m3/a1");
        if (killed) {
            deployment.entry(leader).start();
        } else {
            deployment.entry(leader).resume();
        }
        deployment.awaitReady(leader);
        awaitServed(leader, "m2/a2");
        assertThat(deployment.standin().acceptedFencingTokens()).isInOrder();
        assertThat(deployment.standin().acceptedFencingTokens())
                .contains(tokensOf(other).get(0));
        assertThat(tokensOf(leader)).containsNoneIn(tokensOf(other));
        assertThat(tokensOf(other).get(0)).isGreaterThan(tokensOf(leader).get(0));
    }

    /**
     * Guards against both entries together sending an endpoint more than its advertised rate limit, also when the
     * leader is killed or frozen. Window and allowance are those of the emulator's rate limit rule; exceptions are not
     * allowed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"calm", "killed", "frozen"})
    void bothEntriesTogetherStayWithinAnAdvertisedRateLimit(String fault) throws Exception {
        int leader = awaitLeader();
        deployment.standin().advertiseRateLimit(RATE_LIMIT_PER_S);
        List<CompletableFuture<Integer>> callers = List.of(callWhileRateLimited(0), callWhileRateLimited(1));
        if (!fault.equals("calm")) {
            awaitRateLimitedFor(4_000);
            injectFault(leader, fault);
            deployment.awaitLogText(1 - leader, LEADER_WON);
            recover(leader, fault);
        }
        for (CompletableFuture<Integer> served : callers) {
            assertThat(served.get()).isAtLeast(1);
        }
        List<Long> arrivalsMs = deployment.standin().arrivalsUnderRateLimitMs();
        long checkedFromMs = arrivalsMs.get(0) + SETTLE_MS;
        for (long fromMs : arrivalsMs) {
            long within = arrivalsMs.stream()
                    .filter(atMs -> atMs >= fromMs && atMs < fromMs + WINDOW_MS)
                    .count();
            if (fromMs >= checkedFromMs) {
                assertThat((double) within).isAtMost(1.5 * RATE_LIMIT_PER_S * WINDOW_MS / 1_000 + 5);
            }
        }
    }

    private void injectFault(int entry, String fault) throws Exception {
        if (fault.equals("killed")) {
            deployment.entry(entry).kill();
        } else {
            deployment.entry(entry).freeze();
        }
    }

    private void recover(int entry, String fault) throws Exception {
        if (fault.equals("killed")) {
            deployment.entry(entry).start();
        } else {
            deployment.entry(entry).resume();
        }
        deployment.awaitReady(entry);
    }

    private boolean rateLimitedFor(long ms) {
        List<Long> arrivalsMs = deployment.standin().arrivalsUnderRateLimitMs();
        return !arrivalsMs.isEmpty() && arrivalsMs.get(arrivalsMs.size() - 1) - arrivalsMs.get(0) >= ms;
    }

    private void awaitRateLimitedFor(long ms) throws InterruptedException {
        Polling.until("requests arrived under the rate limit for " + ms + " ms", 60_000, () -> rateLimitedFor(ms));
    }

    /** Makes calls one after another until the end of the checked period; returns how many were served. */
    private CompletableFuture<Integer> callWhileRateLimited(int entry) {
        return CompletableFuture.supplyAsync(() -> {
            int served = 0;
            for (int i = 0; !rateLimitedFor(RATE_LIMITED_MS); i++) {
                served += callServed(entry, "limited-" + entry + "-" + i) ? 1 : 0;
            }
            return served;
        });
    }

    private boolean callServed(int entry, String id) {
        try {
            int status = deployment.call(entry, "/post/x", id, "none");
            assertThat(status).isAnyOf(200, REJECTED_STATUS);
            return status == 200;
        } catch (IOException e) {
            // The entry was killed or has not restarted yet.
            return false;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private int awaitLeader() throws IOException, InterruptedException {
        Polling.until("an entry leads", 10_000, () -> (deployment.log(0) + deployment.log(1)).contains(LEADER_WON));
        return deployment.log(0).contains(LEADER_WON) ? 0 : 1;
    }

    /** Returns the tokens with which an entry has led, in order. */
    private List<Long> tokensOf(int entry) throws IOException {
        return WON_TOKEN
                .matcher(deployment.log(entry))
                .results()
                .map(match -> Long.parseLong(match.group(1)))
                .toList();
    }

    /**
     * Guards against an entry that stays at what an older copy of the store says, or does not see what was written
     * again under versions that were given out before.
     */
    @ParameterizedTest
    @CsvSource({"0, calm", "50, calm", "0, killed", "50, killed"})
    void whatWasConfirmedStaysInForceOverARestoreOfTheStore(int otherWrites, String fault) throws Exception {
        int leader = awaitLeader();
        awaitServed(leader, "m1");
        deployment.standin().copyStore();
        deployment.standin().addRoute("early");
        awaitRoute(0, "early");
        awaitRoute(1, "early");
        awaitServed(1 - leader, "m3/a1");
        if (!fault.equals("calm")) {
            injectFault(leader, fault);
            deployment.awaitLogText(1 - leader, LEADER_WON);
            recover(leader, fault);
        }
        deployment.standin().restoreStore(otherWrites);
        assertThat(deployment.call(1 - leader, "/early/x", "kept", "none")).isEqualTo(200);
        deployment.awaitLogText(0, "restored=true");
        deployment.awaitLogText(1, "restored=true");
        assertThat(deployment.call(0, "/early/x", "kept-0", "none")).isEqualTo(200);
        assertThat(deployment.call(1, "/early/x", "kept-1", "none")).isEqualTo(200);
        deployment.standin().addRoute("late");
        awaitRoute(0, "late");
        awaitRoute(1, "late");
        awaitServed(leader, "m2/a2");
        assertThat(deployment.standin().acceptedFencingTokens()).isInOrder();
        assertThat(tokensOf(leader)).containsNoneIn(tokensOf(1 - leader));
    }

    private void awaitRoute(int entry, String name) throws InterruptedException {
        Polling.until(
                name + " is served at entry " + entry,
                10_000,
                () -> deployment.call(entry, "/" + name + "/x", name + "-" + entry, "none") == 200);
    }

    /** Repeats a call until it is served; it may be rejected while the model is loaded. */
    private void awaitServed(int entry, String model) throws InterruptedException {
        Polling.until(model + " is served", 30_000, () -> {
            int status = deployment.call(entry, "/chat/x", "wait-" + model, model);
            assertWithMessage(model).that(status).isAnyOf(200, REJECTED_STATUS);
            return status == 200;
        });
    }

    /** Makes calls one after another until the entry accepts no more; a broken connection fails the future. */
    private CompletableFuture<List<Integer>> callInBackground(int entry) {
        return CompletableFuture.supplyAsync(() -> {
            List<Integer> statuses = new ArrayList<>();
            try {
                for (int i = 0; i < CALL_COUNT; i++) {
                    statuses.add(deployment.call(entry, i % 2 == 0 ? "/post/x" : "/read/x", "call-" + i, "none"));
                }
            } catch (ConnectException e) {
                return statuses;
            } catch (IOException | InterruptedException e) {
                throw new AssertionError("connection of call " + statuses.size() + " was cut", e);
            }
            return statuses;
        });
    }
}
