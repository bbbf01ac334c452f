package org.hawthornglade.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hawthornglade.core.id.PromptPartId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PrefixCacheTest {
    private final PrefixCache cache = new PrefixCache();

    private static List<PromptPart> parts(String ids) {
        return List.of(ids.split("\\+")).stream()
                .map(id -> new PromptPart(PromptPartId.of(id), 100))
                .toList();
    }

    @ParameterizedTest
    @CsvSource({
        "m, a+b+c, 300",
        "m, a+b+x, 200",
        "m, a+x+c, 100",
        "m, x+b+c, 0",
        "m/lora, a+b+c, 0",
    })
    void countsPartsOnlyTogetherWithAllPrecedingOnes(String variant, String requested, int cached) {
        cache.add("m", parts("a+b+c"));
        assertThat(cache.cachedTokens(variant, parts(requested))).isEqualTo(cached);
    }

    /** The sum of two long parts overflowed, so that cached parts counted as still to be read. */
    @Test
    void countsLongPartsWithoutOverflow() {
        List<PromptPart> parts = List.of(
                new PromptPart(PromptPartId.of("a"), Integer.MAX_VALUE),
                new PromptPart(PromptPartId.of("b"), Integer.MAX_VALUE));
        cache.add("m", parts);
        assertThat(cache.cachedTokens("m", parts)).isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void isEmptyAfterARestart() {
        cache.add("m", parts("a"));
        cache.clear();
        assertThat(cache.cachedTokens("m", parts("a"))).isEqualTo(0);
    }
}
