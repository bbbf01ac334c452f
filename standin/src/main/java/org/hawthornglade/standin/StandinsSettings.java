package org.hawthornglade.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Settings of all stand-ins of one process.
 *
 * @param servers the stand-ins, each with a unique name
 */
public record StandinsSettings(List<StandinSettings> servers) {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    /** Copies the list and checks that the names are unique. */
    public StandinsSettings {
        servers = servers == null ? List.of() : List.copyOf(servers);
        Set<String> names = new HashSet<>();
        for (StandinSettings server : servers) {
            if (server.name() == null || !names.add(server.name())) {
                throw new IllegalArgumentException("a stand-in needs a unique name: " + server.name());
            }
        }
    }

    /** Creates settings of the given stand-ins. */
    public static StandinsSettings of(StandinSettings... servers) {
        return new StandinsSettings(List.of(servers));
    }

    /**
     * Parses JSON with comments.
     *
     * @throws IllegalArgumentException if the text is not valid JSON or has an unknown field
     */
    public static StandinsSettings parse(String json) {
        try {
            return MAPPER.readValue(json, StandinsSettings.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }
}
