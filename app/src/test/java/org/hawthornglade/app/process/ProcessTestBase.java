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

/** Base of the process tests: a deployment and a caller for each test, and the invariants that must hold. */
abstract class ProcessTestBase {
    static final long DEADLINE_MS = 30_000;
    static final int TOKENS = 40;
    static final int ONE_KB = 1_024;

    /** Maximum time from a deadline to the result of the call; large, since the test machine may be busy. */
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

    /** Waits until a caller gets a complete response, repeating the call after rejections. */
    void awaitServed(int entry, String model) throws InterruptedException {
        Polling.until(model + " is served at entry " + entry, WAIT_TIMEOUT_MS, () -> {
            String prompt = "is it there";
            return chat(entry, model, prompt).join().isCompleteStream(prompt, TOKENS);
        });
    }

    static void awaitReceived(TestCaller.Call call, int bytes) throws InterruptedException {
        Polling.until("the response begins", WAIT_TIMEOUT_MS, () -> {
            if (call.result().isDone()) {
                throw new AssertionError("the call ended before " + bytes + " bytes were received: " + call.join());
            }
            return call.receivedBytes().get() >= bytes;
        });
    }

    /** Asserts that a result is conclusive and in time, and a complete stream if it is a success. */
    static void assertConclusiveAndInTime(CallResult result, String prompt) {
        assertWithMessage("conclusive: %s", result).that(result.isConclusive()).isTrue();
        assertWithMessage("in time: %s", result).that(result.durationMs()).isLessThan(DEADLINE_MS + MARGIN_MS);
        if (result.resultCode() == org.hawthornglade.core.result.ResultCode.OK) {
            assertWithMessage("complete: %s", result)
                    .that(result.isCompleteStream(prompt, TOKENS))
                    .isTrue();
        }
    }

    /** Asserts the invariants of all tests: no more replicas than assigned, and no overcommitted memory. */
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
