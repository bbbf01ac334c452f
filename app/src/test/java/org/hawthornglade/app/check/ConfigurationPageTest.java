package org.hawthornglade.app.check;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.hawthornglade.agent.AgentSettings;
import org.hawthornglade.core.plan.AdapterChange;
import org.hawthornglade.core.plan.ClassChange;
import org.hawthornglade.core.plan.ModelChange;
import org.hawthornglade.core.plan.OrganisationChange;
import org.hawthornglade.core.plan.ServiceChange;
import org.hawthornglade.entry.EntrySettings;
import org.hawthornglade.node.settings.NodeSettings;
import org.hawthornglade.node.settings.PlatformSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class ConfigurationPageTest {
    private static final Path PAGE = Path.of("..", "docs", "CONFIGURATION.md");

    static Stream<Arguments> settings() {
        return Stream.of(
                Arguments.of("### Both roles", new NodeSettings()),
                Arguments.of("### platform", new PlatformSettings()),
                Arguments.of("### entry", new EntrySettings()),
                Arguments.of("### agent", new AgentSettings()));
    }

    static Stream<Arguments> sections() {
        return Stream.of(
                Arguments.of("organisations", OrganisationChange.class),
                Arguments.of("classes", ClassChange.class),
                Arguments.of("models", ModelChange.class),
                Arguments.of("adapters", AdapterChange.class),
                Arguments.of("services", ServiceChange.class));
    }

    /** Returns the lines between a heading and the next one. */
    private static List<String> section(String heading) throws Exception {
        List<String> lines = Files.readAllLines(PAGE);
        int from = lines.indexOf(heading);
        assertWithMessage(heading).that(from).isAtLeast(0);
        return lines.subList(from + 1, lines.size()).stream()
                .takeWhile(line -> !line.startsWith("#"))
                .toList();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("settings")
    void documentsEachSetting(String heading, Object settings) throws Exception {
        List<String> lines = section(heading);
        for (Field field : settings.getClass().getDeclaredFields()) {
            if (Modifier.isStatic(field.getModifiers()) || field.isSynthetic()) {
                continue;
            }
            List<String> rows = lines.stream()
                    .filter(line -> line.startsWith("| `" + field.getName() + "` |"))
                    .toList();
            assertWithMessage(field.getName()).that(rows).hasSize(1);
            if (field.isAnnotationPresent(Min.class)) {
                field.setAccessible(true);
                assertThat(rows.get(0))
                        .contains("| %d to %d | %s |"
                                .formatted(
                                        field.getAnnotation(Min.class).value(),
                                        field.getAnnotation(Max.class).value(),
                                        field.get(settings)));
            }
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("sections")
    void documentsEachConfigurationField(String section, Class<?> change) throws Exception {
        List<String> lines = section("## The configuration");
        int from = lines.indexOf(lines.stream()
                .filter(line -> line.startsWith("| `" + section + "` |"))
                .findFirst()
                .orElseThrow());
        Pattern fieldRow = Pattern.compile("\\| (`" + section + "` )?\\| `(\\w+)` \\|.*");
        List<String> fields = lines.subList(from, lines.size()).stream()
                .map(fieldRow::matcher)
                .takeWhile(matcher -> matcher.matches())
                .map(matcher -> matcher.group(2))
                .toList();
        assertThat(fields)
                .containsExactlyElementsIn(Arrays.stream(change.getRecordComponents())
                        .map(component -> component.getName())
                        .toList())
                .inOrder();
    }
}
