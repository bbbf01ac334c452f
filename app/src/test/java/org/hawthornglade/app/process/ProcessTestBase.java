package org.hawthornglade.app.process;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.standin.engine.Violation;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.TestInfo;

/** One deployment and one caller a test, and what must hold after each. */
abstract class ProcessTestBase {
    static final long DEADLINE_MS = 30_000;
    static final int TOKENS = 40;
    static final int ONE_KB = 1_024;

    /** From a deadline to the latest time of an answer; wide, since the machine may be busy. */
    static final long MARGIN_MS = 10_000;

    static final long WAIT_TIMEOUT_MS = 60_000;

    private final TestCaller caller = new TestCaller();
    private Deployment deployment;
    private Path logs;

    @BeforeEach
    void createLogDirectory(TestInfo info) throws IOException {
        logs = Deployment.createLogDirectory(info);
    }

    @AfterEach
    void close() throws IOException, InterruptedException {
        caller.close();
        if (deployment != null) {
            deployment.close();
        }
    }

    Deployment deploy(String engineSettings, int orderDelayMs) throws IOException, InterruptedException {
        deployment = new Deployment(logs, engineSettings, orderDelayMs, 2);
        return deployment;
    }

    Deployment deployment() {
        return deployment;
    }

    TestCaller caller() {
        return caller;
    }

    TestCaller.Call chat(int entry, String model, String prompt) {
        return caller.chat(deployment.entryUri(entry), model, prompt, TOKENS, DEADLINE_MS);
    }

    TestCaller.Call order(int entry, String key) {
        return caller.order(deployment.entryUri(entry), key, "{\"key\":\"" + key + "\"}", DEADLINE_MS);
    }

    /** Waits until a caller gets a whole answer, asking again after refusals. */
    void awaitServed(int entry, String model) throws InterruptedException {
        Polling.until(model + " answers at entry " + entry, WAIT_TIMEOUT_MS, () -> {
            String prompt = "is it there";
            return chat(entry, model, prompt).join().isCompleteStream(prompt, TOKENS);
        });
    }

    static void awaitReceived(TestCaller.Call call, int bytes) throws InterruptedException {
        Polling.until("the answer begins", WAIT_TIMEOUT_MS, () -> {
            if (call.result().isDone()) {
                throw new AssertionError("ended early: " + call.join());
            }
            return call.receivedBytes().get() >= bytes;
        });
    }

    /** Asserts that an answer is final, came in time, and is whole if it is a success. */
    static void assertConclusiveAndInTime(CallResult answer, String prompt) {
        assertWithMessage("final: %s", answer).that(answer.isConclusive()).isTrue();
        assertWithMessage("in time: %s", answer).that(answer.durationMs()).isLessThan(DEADLINE_MS + MARGIN_MS);
        if (answer.resultCode() == org.hawthornglade.core.result.ResultCode.OK) {
            assertWithMessage("whole: %s", answer)
                    .that(answer.isCompleteStream(prompt, TOKENS))
                    .isTrue();
        }
    }

    /** Asserts what must hold in every test: no more replicas than decided, and memory never overcommitted. */
    void assertInvariants() {
        assertWithMessage("replicas of guide")
                .that(deployment.standins().replicaCounter().maxReplicas(Deployment.GUIDE))
                .isAtMost(2);
        assertWithMessage("replicas of quick")
                .that(deployment.standins().replicaCounter().maxReplicas(Deployment.QUICK))
                .isAtMost(1);
        for (InstanceId engine : new InstanceId[] {Deployment.ENGINE_1, Deployment.ENGINE_2}) {
            assertWithMessage("violations of %s", engine)
                    .that(deployment.standins().engine(engine.value()).state().violations().stream()
                            .filter(violation -> violation.kind() == Violation.Kind.OVERCOMMIT)
                            .toList())
                    .isEmpty();
        }
    }

    URI entryUri(int index) {
        return deployment.entryUri(index);
    }
}
