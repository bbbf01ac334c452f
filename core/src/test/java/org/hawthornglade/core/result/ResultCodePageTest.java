package org.hawthornglade.core.result;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

final class ResultCodePageTest {
    private static final Path PAGE = Path.of("..", "docs", "RESULT-CODES.md");
    private static final int COLUMNS = 7;

    private static List<List<String>> rows() throws IOException {
        return Files.readAllLines(PAGE).stream()
                .filter(line -> line.matches("\\| \\d+ \\|.*"))
                .map(line -> Arrays.stream(line.substring(1, line.length() - 1).split("\\|", -1))
                        .map(String::strip)
                        .toList())
                .toList();
    }

    private static String run(ResultCode code) {
        return switch (code.execution()) {
            case NOT_RUN -> "no";
            case RUN -> "yes";
            case UNKNOWN -> "unknown";
        };
    }

    @Test
    void pageHasARowForEachCode() throws IOException {
        List<String> expected = Arrays.stream(ResultCode.values())
                .map(code -> String.join(
                        " ",
                        Integer.toString(code.number()),
                        code.name(),
                        run(code),
                        Integer.toString(code.httpStatus()),
                        code.hasRetryAfter() ? "yes" : "no"))
                .toList();
        List<String> found = rows().stream()
                .map(row -> String.join(" ", row.get(0), row.get(1), row.get(3), row.get(4), row.get(5)))
                .toList();
        assertThat(found).containsExactlyElementsIn(expected).inOrder();
    }

    @Test
    void eachRowHasAMeaningAndAnAction() throws IOException {
        for (List<String> row : rows()) {
            assertThat(row).hasSize(COLUMNS);
            assertWithMessage(row.get(1)).that(row.get(2)).endsWith(".");
            assertWithMessage(row.get(1)).that(row.get(6)).endsWith(".");
        }
    }

    @Test
    void numbersAreUniqueAndAllCodesButOkAreErrors() {
        assertThat(Arrays.stream(ResultCode.values())
                        .map(ResultCode::number)
                        .distinct()
                        .count())
                .isEqualTo(ResultCode.values().length);
        for (ResultCode code : ResultCode.values()) {
            assertThat(ResultCode.ofNumber(code.number())).hasValue(code);
            assertWithMessage(code.name().toLowerCase(Locale.ROOT))
                    .that(code == ResultCode.OK || code.httpStatus() >= 400)
                    .isTrue();
        }
    }
}
