package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Starts an entry with two scripted endpoints; the one in the local failure domain is chosen first. */
abstract class ExchangeTestBase {
    private static final long AWAIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    ScriptedEndpoint local;
    ScriptedEndpoint remote;
    TestEntry entry;

    @BeforeEach
    void start() throws IOException {
        local = new ScriptedEndpoint();
        remote = new ScriptedEndpoint();
        entry = new TestEntry(List.of(local, remote));
    }

    @AfterEach
    void stop() {
        entry.close();
        local.close();
        remote.close();
    }

    /** Waits until a condition holds, and fails if it does not in time. */
    static void await(BooleanSupplier condition) {
        long endNs = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
        while (!condition.getAsBoolean() && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
