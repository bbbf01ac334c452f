package org.hawthornglade.core.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.PromptPartId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ModelDemandTest {
    private static ModelDemand demand(int promptTokens, int maxOutputTokens, List<PromptPart> prefix) {
        return new ModelDemand(ModelName.of("m"), Optional.empty(), promptTokens, maxOutputTokens, prefix);
    }

    private static PromptPart part(String id, int tokens) {
        return new PromptPart(PromptPartId.of(id), tokens);
    }

    /** A request with a negative number of tokens made its endpoint look emptier than it was. */
    @ParameterizedTest
    @CsvSource({"-1, 0", "0, -1", "-2147483648, 5", "5, -2147483648"})
    void hasNoNegativeNumberOfTokens(int promptTokens, int maxOutputTokens) {
        assertThrows(IllegalArgumentException.class, () -> demand(promptTokens, maxOutputTokens, List.of()));
    }

    @Test
    void partHasNoNegativeNumberOfTokens() {
        assertThrows(IllegalArgumentException.class, () -> part("a", -1));
    }

    /** The sum of the shared parts overflowed, so that the request counted as longer than its prompt. */
    @Test
    void sharedPartsLongerThanThePromptLeaveNothingOfItsOwn() {
        List<PromptPart> prefix = List.of(part("a", Integer.MAX_VALUE), part("b", Integer.MAX_VALUE), part("own", 5));
        assertThat(demand(10, 1, prefix).ownTokens()).isEqualTo(0);
    }
}
