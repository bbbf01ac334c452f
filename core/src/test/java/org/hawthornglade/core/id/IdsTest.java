package org.hawthornglade.core.id;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

final class IdsTest {
    @ParameterizedTest
    @ValueSource(strings = {"a", "guide-fr", "org/model:v1.2_x"})
    void acceptsValidIds(String text) {
        assertThat(ModelName.of(text).value()).isEqualTo(text);
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"", " ", "a b", "a\n", "é", "a\"b"})
    void rejectsInvalidIds(String text) {
        assertThrows(IllegalArgumentException.class, () -> ModelName.of(text));
    }
}
