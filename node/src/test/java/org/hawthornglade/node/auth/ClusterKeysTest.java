package org.hawthornglade.node.auth;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ClusterKeysTest {
    private static final String OLD = "old-key-0123456789";
    private static final String NEW = "new-key-0123456789";
    private static final byte[] MESSAGE = "r-1.1 /v1/completions".getBytes(UTF_8);

    @ParameterizedTest
    @CsvSource({
        // Each step of a rotation: the sender's keys, the receiver's, and whether the proof is accepted.
        OLD + "," + OLD + ",true",
        OLD + "," + OLD + "+" + NEW + ",true",
        NEW + "+" + OLD + "," + OLD + "+" + NEW + ",true",
        NEW + "," + NEW + "+" + OLD + ",true",
        NEW + "," + OLD + ",false",
    })
    void acceptsEveryStepOfARotation(String sender, String receiver, boolean accepted) {
        byte[] proof = keys(sender).prove(ProofPurposes.ATTEMPT, MESSAGE);
        assertThat(keys(receiver).verify(ProofPurposes.ATTEMPT, MESSAGE, proof)).isEqualTo(accepted);
    }

    @Test
    void aProofIsInvalidForAnotherPurposeOrMessage() {
        ClusterKeys keys = keys(OLD);
        byte[] proof = keys.prove(ProofPurposes.ENTRY_HELLO, MESSAGE);
        assertThat(keys.verify(ProofPurposes.AGENT_HELLO, MESSAGE, proof)).isFalse();
        assertThat(keys.verify(ProofPurposes.ENTRY_HELLO, new byte[] {1}, proof))
                .isFalse();
    }

    @Test
    void rejectsShortAndMissingKeys() {
        assertThrows(IllegalArgumentException.class, () -> new ClusterKeys(List.of("short")));
        assertThrows(IllegalArgumentException.class, () -> new ClusterKeys(List.of()));
    }

    private static ClusterKeys keys(String joined) {
        return new ClusterKeys(List.of(joined.split("\\+")));
    }
}
