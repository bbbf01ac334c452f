package org.hawthornglade.ports.configuration;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.util.Optional;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.ports.table.Condition;
import org.hawthornglade.ports.table.Row;

/**
 * The version of the newest confirmed configuration.
 *
 * @param version the version; 0 before the first confirm
 * @param revision the revision of the head row; 0 before the first confirm
 */
public record ConfigurationHead(long version, long revision) {
    private static final String KEY = "head";
    private static final TypeReference<Value> VALUE = new TypeReference<>() {};

    /** The stored value. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Value(long version) {}

    static String key() {
        return KEY;
    }

    static String json(long version) {
        return PlatformJson.write(new Value(version));
    }

    static Either<Failure, ConfigurationHead> of(Optional<Row> row) {
        if (row.isEmpty()) {
            return Either.right(new ConfigurationHead(0, Condition.ABSENT));
        }
        return PlatformJson.read(row.get().json(), VALUE)
                .map(value -> new ConfigurationHead(value.version(), row.get().revision()));
    }

    /** Returns the condition that no other configuration has been confirmed since this was read. */
    Condition unchanged() {
        return new Condition(ConfigurationStore.TABLE, KEY, revision);
    }
}
