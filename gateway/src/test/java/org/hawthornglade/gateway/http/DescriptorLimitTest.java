package org.hawthornglade.gateway.http;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against callers that take the descriptors which the store, servers and other entries need. */
class DescriptorLimitTest {
    private static final long HEAP_BYTES = 96 * 1_048_576;

    @ParameterizedTest
    @CsvSource({"2212, 1459", "10250, 6144", "4100, 2875", "100, 64"})
    void leavesDescriptorsAndHeapForAllElse(long openFiles, int connections) {
        assertThat(DescriptorLimit.callerConnections(openFiles, HEAP_BYTES)).isEqualTo(connections);
    }

    /** Guards against a limit of the system that is not the one of the platform. */
    @ParameterizedTest
    @CsvSource({"1000, 550", "400, 100"})
    void statedDescriptorsGoBeforeTheLimitOfTheSystem(int statedDescriptors, int connections) {
        assertThat(DescriptorLimit.callerConnections(statedDescriptors)).isEqualTo(connections);
    }
}
