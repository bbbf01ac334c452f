package org.hawthornglade.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.serving.RequestLimits;
import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.team.ApiKey;
import org.hawthornglade.core.team.Team;
import org.hawthornglade.core.team.TeamDirectory;
import org.hawthornglade.gateway.log.EventLog;
import org.junit.jupiter.api.Test;

class SharedKeyLogTest {
    private static Team team(String name) {
        return new Team(TeamName.of(name), OptionalInt.empty(), Optional.empty());
    }

    /** Operators must see that a team's key belongs to another team; the key itself must not be in the log. */
    @Test
    void lineNamesTheTeamsButNotTheKey() {
        Map<Team, List<ApiKey>> keys = new LinkedHashMap<>();
        keys.put(team("first"), List.of(new ApiKey("secret")));
        keys.put(team("second"), List.of(new ApiKey("secret"), new ApiKey("own")));
        ServingConfiguration configuration =
                new ServingConfiguration(7, List.of(), List.of(), RequestLimits.DEFAULT, TeamDirectory.of(keys));
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        SharedKeyLog.write(
                new EventLog(() -> 0, new PrintStream(written, true, StandardCharsets.UTF_8)), configuration);
        long endNs = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (written.size() == 0 && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        String line = written.toString(StandardCharsets.UTF_8);
        assertThat(line).contains("event=key-given-twice config=7 holder=first team=second");
        assertThat(line).doesNotContain("secret");
    }
}
