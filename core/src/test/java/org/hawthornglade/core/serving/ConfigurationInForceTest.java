package org.hawthornglade.core.serving;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Stream;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.team.ApiKey;
import org.hawthornglade.core.team.Team;
import org.hawthornglade.core.team.TeamDirectory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigurationInForceTest {
    /** Creates a configuration whose content is told by its idle timeout. */
    private static ServingConfiguration configuration(String name) {
        List<String> parts = Splitter.on('/').splitToList(name);
        RequestLimits limits = new RequestLimits(2_048, 10_000, 3_000, Integer.parseInt(parts.get(1)));
        return new ServingConfiguration(Integer.parseInt(parts.get(0)), List.of(), List.of(), limits);
    }

    private static ServingConfiguration withKey(String key) {
        Team team = new Team(TeamName.of("team"), OptionalInt.empty(), Optional.empty());
        return new ServingConfiguration(
                7,
                List.of(),
                List.of(),
                RequestLimits.DEFAULT,
                TeamDirectory.of(Map.of(team, List.of(new ApiKey(key)))));
    }

    /** A key that was replaced after a restore of the store, under a version that was in use, did not take effect. */
    @Test
    void versionWithOtherKeysReplacesTheOneInForce() {
        ConfigurationInForce configurations = new ConfigurationInForce();
        assertThat(configurations.onRead(withKey("k1"))).isTrue();
        assertThat(configurations.onRead(withKey("k1"))).isFalse();
        assertThat(configurations.onRead(withKey("k2"))).isTrue();
        assertThat(configurations.current().orElseThrow().teams().holderOf(new ApiKey("k1")))
                .isEqualTo(Optional.empty());
    }

    private static String name(ServingConfiguration configuration) {
        return configuration.version() + "/" + configuration.limits().idleTimeoutMs();
    }

    static Stream<Arguments> readings() {
        return Stream.of(
                Arguments.of("changes", "5/1 7/2 9/3", "5/1 7/2 9/3"),
                Arguments.of(
                        "an older copy is read, then the newer one is written again", "7/2 5/1 7/2", "7/2 7/2 7/2"),
                Arguments.of("an older copy is read, then a newer one is written", "7/2 5/1 9/3", "7/2 7/2 9/3"),
                Arguments.of("an entry starts with an older copy", "5/1 7/2", "5/1 7/2"),
                Arguments.of("the same version is given to other content", "7/2 5/1 7/4", "7/2 7/2 7/4"),
                Arguments.of("what it replaced comes back", "7/2 7/4 7/2", "7/2 7/4 7/4"),
                Arguments.of("twice, and the first comes back", "7/2 7/4 7/6 7/2 7/4", "7/2 7/4 7/6 7/6 7/6"),
                Arguments.of("and then a newer version", "7/2 7/4 9/2", "7/2 7/4 9/2"));
    }

    /** A configuration was ignored for ever if a version was given out again, or would have come back older. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("readings")
    void confirmedConfigurationNeverReverts(String name, String read, String inForce) {
        ConfigurationInForce configurations = new ConfigurationInForce();
        List<String> after = Splitter.on(' ')
                .splitToStream(read)
                .map(each -> {
                    configurations.onRead(configuration(each));
                    return name(configurations.current().orElseThrow());
                })
                .toList();
        assertThat(String.join(" ", after)).isEqualTo(inForce);
    }
}
