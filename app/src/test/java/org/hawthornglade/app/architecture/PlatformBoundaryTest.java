package org.hawthornglade.app.architecture;

import static com.google.common.truth.Truth.assertThat;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that names of the users' platform occur only in the adapter and only the gateway package depends on it. */
class PlatformBoundaryTest {
    private static final int MAX_ADAPTER_LINES = 2_500;
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    @Test
    void onlyTheGatewayPackageDependsOnTheAdapter() {
        JavaClasses classes = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("org.hawthornglade");
        noClasses()
                .that()
                .resideOutsideOfPackages("org.hawthornglade.platform..", "org.hawthornglade.app.gateway")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.hawthornglade.platform..")
                .check(classes);
    }

    @Test
    void adapterStaysWithinItsLineLimit() throws IOException {
        long lines = 0;
        for (Path source : sources(ROOT.resolve("platform/src/main/java"))) {
            lines += Files.readAllLines(source).size();
        }
        assertThat(lines).isAtMost(MAX_ADAPTER_LINES);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Model",
                "X-Request-Priority",
                "X-Expect-Instance",
                "X-Server-Stamp",
                "X-Not-Run",
                "X-Token-Count",
                "X-Prompt-Prefix",
                "goalMs",
                "pathPrefix",
                "coldLeftMs",
                "rows-feed",
                "rows-get",
                "rows-tx",
                "Store-Era",
                "/v1/order",
                "/v1/report",
                "/v1/ready",
                "atHand",
                "HAWTHORNGLADE_NODE_FILE"
            })
    void platformNamesAppearOnlyInTheAdapter(String name) throws IOException {
        for (String module : List.of("core", "gateway", "app", "node", "entry", "agent", "ports", "protocol")) {
            for (Path source : sources(ROOT.resolve(module).resolve("src"))) {
                boolean isThisTest = source.endsWith("PlatformBoundaryTest.java");
                boolean named = !isThisTest && mentions(Files.readString(source), name);
                assertThat(named ? source + " names " + name : "").isEmpty();
            }
        }
    }

    /** Headers and paths match also within a longer text; other names are ordinary words and match only as literals. */
    private static boolean mentions(String text, String name) {
        boolean distinctive = name.startsWith("X-") || name.startsWith("/v1/");
        return distinctive
                ? text.contains(name)
                : text.contains("\"" + name + "\"") || text.contains("\"" + name + "?");
    }

    private static List<Path> sources(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }
}
