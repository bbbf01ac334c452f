package org.hawthornglade.entry.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.core.retry.Backoff;
import org.junit.jupiter.api.Test;

final class StoreCircuitTest {
    private final StoreCircuit circuit = new StoreCircuit(new Backoff(500, 10_000), new Random(1));

    @Test
    void letsOneCallAloneTryTheStoreAfterAnOutage() {
        assertThat(circuit.tryEnter(0)).isTrue();
        circuit.failed(0);
        assertThat(circuit.tryEnter(0)).isFalse();
        assertThat(circuit.refusedForMs(0)).isAtLeast(1);
        assertThat(circuit.tryEnter(20_000)).isTrue();
        assertThat(circuit.tryEnter(20_000)).isFalse();
        assertThat(circuit.refusedForMs(20_000)).isAtLeast(1);
        circuit.succeeded();
        assertThat(circuit.refusedForMs(20_000)).isEqualTo(0);
    }

    @Test
    void anOutageCostsFewCalls() {
        int calls = 0;
        for (long nowMs = 0; nowMs < 600_000; nowMs += 10) {
            if (circuit.tryEnter(nowMs)) {
                calls++;
                circuit.failed(nowMs);
            }
        }
        assertThat(calls).isLessThan(300);
    }

    @Test
    void thoseWhoWereRefusedTogetherDoNotComeBackTogether() {
        for (int number = 0; number < 5; number++) {
            circuit.failed(0);
        }
        Set<Long> returnsInMs = new HashSet<>();
        for (int number = 0; number < 100; number++) {
            returnsInMs.add(circuit.refusedForMs(0) / 100);
        }
        assertThat(returnsInMs.size()).isAtLeast(30);
    }
}
