package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.LongStream;
import org.hawthornglade.core.time.Clock;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Stops entries in series that overlap, with more signals, restarts and changes of the configuration beside them, while
 * callers send small, large, slow and pieced bodies, read slowly, have streams that pause and streams that outlast the
 * grace, and use their connections until the process is gone.
 *
 * <p>{@code bin/soak} runs it with more seeds.
 */
@Tag("process")
final class StopSoakTest {
    private static final int ENTRIES = Integer.getInteger("soak.entries", 2);
    private static final int SEEDS = Integer.getInteger("soak.seeds", 1);
    private static final int CALLERS_PER_ENTRY = 12;
    private static final int STOPS = 2;
    private static final int EARLY_STOP_ONE_IN = 3;
    private static final int SIGNALS_IN_A_STOP = 2;
    private static final int CONFIGURATION_CHANGES = 6;
    private static final long GRACE_MS = 8_000;
    /** A connection may end this soon after the last byte of a request that was not passed on. */
    private static final long LOSS_SLACK_MS = 200;
    /** An entry may end calls that are still open from this part of the grace on. */
    private static final long LAST_SIXTH_MS = GRACE_MS * 5 / 6;

    /** An entry ends a call up to this long before its route's timeout, so that the response arrives in time. */
    private static final long RESPONSE_RESERVE_MS = 10;

    private static final long WARM_UP_MS = 2_000;
    private static final long MAX_STEP_MS = 1_200;

    @TempDir
    Path directory;

    private final Clock clock = Clock.system();
    private final List<List<Long>> stopsMs = new ArrayList<>();
    private final List<Integer> killed = new CopyOnWriteArrayList<>();
    private GatewayDeployment deployment;
    private Random random;

    static LongStream seeds() {
        return LongStream.range(0, SEEDS).map(index -> Long.getLong("soak.seed", 1) + index);
    }

    /** Guards against a planned stop that cuts off requests, whatever they are at and whatever comes beside it. */
    @ParameterizedTest
    @MethodSource("seeds")
    void everyRequestThatAnEntryHasBegunToReadIsAnswered(long seed) throws Exception {
        random = new Random(seed);
        deployment = new GatewayDeployment(directory, ENTRIES, NodeProcess.JVM_FLAGS, "{}");
        List<SoakCaller> callers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        try {
            for (int i = 0; i < CALLERS_PER_ENTRY * ENTRIES; i++) {
                SoakCaller caller =
                        new SoakCaller(clock, deployment, ENTRIES, "soak-" + seed + "-" + i, random.nextLong());
                callers.add(caller);
                threads.add(new Thread(caller, "caller-" + i));
            }
            threads.forEach(Thread::start);
            pause(WARM_UP_MS);
            disturb();
        } finally {
            callers.forEach(SoakCaller::end);
            for (Thread thread : threads) {
                thread.join();
            }
            deployment.close();
        }
        judge(callers.stream().flatMap(caller -> caller.requests().stream()).toList());
    }

    /** Stops each entry several times, beside the others, while the configuration changes. */
    private void disturb() throws Exception {
        List<Thread> threads = new ArrayList<>();
        threads.add(new Thread(this::change, "changes"));
        for (int entry = 0; entry < ENTRIES; entry++) {
            stopsMs.add(new CopyOnWriteArrayList<>());
            int stopped = entry;
            Random own = new Random(random.nextLong());
            threads.add(new Thread(() -> stopInSeries(stopped, own), "stops-" + entry));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        for (int entry = 0; entry < ENTRIES; entry++) {
            deployment.awaitReady(entry);
        }
    }

    /** Stops an entry again and again, about every third time as it starts. */
    private void stopInSeries(int entry, Random own) {
        try {
            pause(own.nextLong(MAX_STEP_MS));
            for (int stop = 0; stop < STOPS; stop++) {
                restart(entry, own);
                if (own.nextInt(EARLY_STOP_ONE_IN) > 0) {
                    deployment.awaitReady(entry);
                }
                pause(own.nextLong(GRACE_MS));
            }
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** Stops an entry as the platform does, which kills it at the end of the grace, with more signals meanwhile. */
    private void restart(int entry, Random own) throws Exception {
        NodeProcess process = deployment.entry(entry);
        long stopMs = clock.nowMs();
        stopsMs.get(entry).add(stopMs);
        process.terminate();
        for (int i = 0; i < SIGNALS_IN_A_STOP; i++) {
            pause(own.nextLong(MAX_STEP_MS));
            if (process.isAlive() && own.nextBoolean()) {
                process.hangUp();
            } else {
                process.terminate();
            }
        }
        if (!process.awaitExit(stopMs + GRACE_MS - clock.nowMs())) {
            killed.add(entry);
            process.kill();
        }
        process.start();
    }

    private void change() {
        try {
            for (int change = 0; change < CONFIGURATION_CHANGES; change++) {
                pause(MAX_STEP_MS);
                deployment.standin().addRoute("added-" + change);
                if (deployment.accepts(ENTRIES - 1)) {
                    deployment.entry(ENTRIES - 1).hangUp();
                }
            }
        } catch (Exception | AssertionError e) {
            // The process has just ended; the next change meets the next one.
        }
    }

    private void judge(List<SoakRequest> requests) throws Exception {
        Set<String> ran = deployment.standin().idsThatRan();
        List<SoakRequest> cut = requests.stream()
                .filter(request -> !request.whole && !excused(request))
                .toList();
        List<SoakRequest> lost = cut.stream()
                .filter(request -> ran.contains(request.id)
                        || (request.sentMs > 0 && request.endedMs - request.sentMs > LOSS_SLACK_MS))
                .toList();
        List<SoakRequest> halfRead = cut.stream()
                .filter(request -> request.sentMs == 0 && request.endedMs - request.startedMs > LOSS_SLACK_MS)
                .toList();
        List<SoakRequest> unlogged = new ArrayList<>();
        for (SoakRequest request : lost) {
            if (!deployment.log(request.entry).contains(request.id)) {
                unlogged.add(request);
            }
        }
        long served = requests.stream()
                .filter(request -> request.status == 200 && request.whole)
                .count();
        System.out.println(
                requests.size() + " requests, " + served + " served, " + cut.size() + " cut, " + lost.size() + " lost, "
                        + halfRead.size() + " cut while they were sent, " + unlogged.size() + " lost without a line");
        assertWithMessage("entries that were killed at the end of their grace; stops at " + stopsMs)
                .that(killed)
                .isEmpty();
        assertWithMessage("lost; stops at " + stopsMs).that(lost).isEmpty();
        assertWithMessage("cut while they were sent; stops at " + stopsMs)
                .that(halfRead)
                .isEmpty();
        assertThat(served).isGreaterThan(requests.size() / 2L);
    }

    /** Returns whether a request reached its route's timeout, or was open in the last part of the grace of a stop. */
    private boolean excused(SoakRequest request) {
        long timeoutMs = request.kind.timeoutMs() - RESPONSE_RESERVE_MS;
        if (request.sentMs > 0 && request.endedMs - request.sentMs >= timeoutMs) {
            return true;
        }
        return stopsMs.get(request.entry).stream()
                .anyMatch(stopMs -> request.endedMs > stopMs + LAST_SIXTH_MS && request.startedMs < stopMs + 3_000);
    }

    private static void pause(long ms) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
    }
}
