package org.hawthornglade.core.config;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that each fault of a configuration is found, with its path and kind. */
final class ConfigurationValidatorTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Test
    void acceptsValidConfiguration() {
        assertThat(ConfigurationValidator.validate(Configurations.valid())).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/organisations/0/share|0|INVALID",
                "/organisations/0/maxAccelerators|-1|INVALID",
                "/organisations/0/maxAccelerators|1|OVER_BUDGET",
                "/classes/0/weight|-1|INVALID",
                "/classes/0/defaultDeadlineMs|0|INVALID",
                "/classes/0/maxQueued|-1|INVALID",
                "/models/0/name|null|INVALID",
                "/models/0/version|null|INVALID",
                "/models/0/memoryMb|0|INVALID",
                "/models/0/kvCacheMb|-1|INVALID",
                "/models/0/accelerators|0|INVALID",
                "/models/0/maxReplicas|-1|INVALID",
                "/models/0/maxReplicas|9|OVER_BUDGET",
                "/models/0/maxConcurrent|0|INVALID",
                "/models/0/organisations/0|\"nobody\"|INVALID",
                "/models/0/serviceClass|\"nothing\"|INVALID",
                "/adapters/0/name|\"quote\"|INVALID",
                "/adapters/0/base|\"gone\"|INVALID",
                "/adapters/0/memoryMb|0|INVALID",
                "/services/0/operations/0/method|\"post\"|INVALID",
                "/services/0/operations/0/pathPrefix|\"orders\"|INVALID",
                "/services/0/operations|[]|INVALID",
                "/services/0/maxConcurrent|0|INVALID",
                "/idle/coldSecondsPerIdleHour|-1|INVALID",
            })
    void findsFaultAtPath(String path, String value, Fault.Kind kind) throws Exception {
        ObjectNode tree = MAPPER.valueToTree(Configurations.valid());
        int slash = path.lastIndexOf('/');
        var parent = tree.at(path.substring(0, slash));
        String field = path.substring(slash + 1);
        if (parent.isArray()) {
            ((com.fasterxml.jackson.databind.node.ArrayNode) parent)
                    .set(Integer.parseInt(field), MAPPER.readTree(value));
        } else {
            ((ObjectNode) parent).set(field, MAPPER.readTree(value));
        }
        Configuration invalid = ConfigurationJson.read(tree.toString()).get();

        List<Fault> faults = ConfigurationValidator.validate(invalid);

        String expected = kind == Fault.Kind.OVER_BUDGET ? "/organisations/0/maxAccelerators" : path;
        assertThat(faults.stream().map(Fault::path)).contains(expected);
        assertThat(faults.stream()
                        .filter(fault -> fault.path().equals(expected))
                        .map(Fault::kind))
                .containsExactly(kind);
    }

    @Test
    void findsAllFaultsAtOnce() {
        Configuration valid = Configurations.valid();
        Configuration invalid = new Configuration(
                1, "", "", 0, List.of(), List.of(), valid.models(), valid.adapters(), valid.services(), valid.idle());

        assertThat(ConfigurationValidator.validate(invalid).stream().map(Fault::path))
                .containsExactly(
                        "/models/0/organisations/0",
                        "/models/0/serviceClass",
                        "/adapters/0/organisations/0",
                        "/services/0/organisations/0",
                        "/services/0/serviceClass")
                .inOrder();
    }
}
