package org.hawthornglade.core.team;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TeamDirectoryTest {
    private static final Team FIRST = team("first");
    private static final Team SECOND = team("second");
    private static final TeamDirectory TEAMS = directory(List.of("k1", "shared"), List.of("k2", "shared", "k2"));

    private static Team team(String name) {
        return new Team(TeamName.of(name), OptionalInt.empty(), Optional.empty());
    }

    private static TeamDirectory directory(List<String> keysOfFirst, List<String> keysOfSecond) {
        Map<Team, List<ApiKey>> listed = new LinkedHashMap<>();
        listed.put(FIRST, keysOfFirst.stream().map(ApiKey::new).toList());
        listed.put(SECOND, keysOfSecond.stream().map(ApiKey::new).toList());
        return TeamDirectory.of(listed);
    }

    private static Credential credential(String sent) {
        return switch (sent) {
            case "missing" -> Credential.NONE;
            case "unreadable" -> Credential.UNREADABLE;
            default -> Credential.of(new ApiKey(sent));
        };
    }

    private static String outcome(Either<ResultCode, CallerIdentity> identified) {
        return identified.fold(
                ResultCode::name,
                caller -> caller.team().map(team -> team.name().value()).orElse("nobody"));
    }

    /** A call without a valid key must not be served, except on a public route, where a known key still counts. */
    @ParameterizedTest
    @CsvSource({
        "k1, false, first",
        "k2, false, second",
        "shared, false, first",
        "unknown, false, UNKNOWN_KEY",
        "unreadable, false, UNKNOWN_KEY",
        "missing, false, MISSING_KEY",
        "k2, true, second",
        "unknown, true, nobody",
        "unreadable, true, nobody",
        "missing, true, nobody",
    })
    void identifiesCallers(String sent, boolean publicRoute, String expected) {
        Either<ResultCode, CallerIdentity> identified = TEAMS.identify(credential(sent), publicRoute);
        assertThat(outcome(identified)).isEqualTo(expected);
        assertThat(identified.map(CallerIdentity::teamsConfigured).getOrElse(true))
                .isTrue();
    }

    /** Deployments without teams need no key, and their callers' headers stay as they are. */
    @ParameterizedTest
    @CsvSource({"k1, false", "missing, false", "unreadable, false", "missing, true"})
    void withoutTeamsEachCallerIsServed(String sent, boolean publicRoute) {
        assertThat(TeamDirectory.NONE.identify(credential(sent), publicRoute))
                .isEqualTo(Either.right(CallerIdentity.NO_TEAMS));
    }

    /** Operators must learn of a key that two teams list; a key that one team lists twice is no conflict. */
    @Test
    void keyOfTwoTeamsBelongsToTheFirst() {
        assertThat(TEAMS.holderOf(new ApiKey("shared"))).isEqualTo(Optional.of(FIRST));
        assertThat(TEAMS.sharedKeys()).containsExactly(new SharedKey(FIRST.name(), SECOND.name()));
    }

    /** Two directories whose keys differ are different, or a moved key would not come into force. */
    @Test
    void directoriesWithOtherKeysDiffer() {
        TeamDirectory before = directory(List.of("k1"), List.of("k2"));
        assertThat(before).isEqualTo(directory(List.of("k1"), List.of("k2")));
        assertThat(before).isNotEqualTo(directory(List.of("k1", "k2"), List.of()));
        assertThat(before).isNotEqualTo(directory(List.of("k1"), List.of("k3")));
    }

    /** Text forms reach logs and error messages. */
    @Test
    void keyIsNotInTheTextForms() {
        assertThat(directory(List.of("secret"), List.of()).toString()).doesNotContain("secret");
        assertThat(credential("secret").toString()).doesNotContain("secret");
    }
}
