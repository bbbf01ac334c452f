package org.hawthornglade.entry.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.core.retry.Backoff;
import org.junit.jupiter.api.Test;

final class StoreCircuitBreakerTest {
    private final StoreCircuitBreaker circuit = new StoreCircuitBreaker(new Backoff(500, 10_000), new Random(1));

    @Test
    void allowsASingleProbeAfterAnOutage() {
        assertThat(circuit.tryAcquire(0)).isTrue();
        circuit.recordFailure(0);
        assertThat(circuit.tryAcquire(0)).isFalse();
        assertThat(circuit.retryAfterMs(0)).isAtLeast(1);
        assertThat(circuit.tryAcquire(20_000)).isTrue();
        assertThat(circuit.tryAcquire(20_000)).isFalse();
        assertThat(circuit.retryAfterMs(20_000)).isAtLeast(1);
        circuit.recordSuccess();
        assertThat(circuit.retryAfterMs(20_000)).isEqualTo(0);
    }

    @Test
    void makesFewCallsDuringAnOutage() {
        int calls = 0;
        for (long nowMs = 0; nowMs < 600_000; nowMs += 10) {
            if (circuit.tryAcquire(nowMs)) {
                calls++;
                circuit.recordFailure(nowMs);
            }
        }
        assertThat(calls).isLessThan(300);
    }

    @Test
    void spreadsTheRetriesOfCallersRefusedTogether() {
        for (int number = 0; number < 5; number++) {
            circuit.recordFailure(0);
        }
        Set<Long> returnsInMs = new HashSet<>();
        for (int number = 0; number < 100; number++) {
            returnsInMs.add(circuit.retryAfterMs(0) / 100);
        }
        assertThat(returnsInMs.size()).isAtLeast(30);
    }
}
