package org.hawthornglade.entry.caller;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The answer to {@code GET /v1/models}.
 *
 * @param object always {@code list}
 * @param data the models
 */
public record ModelList(String object, List<Entry> data) {
    /** Copies the list. */
    public ModelList {
        data = List.copyOf(data);
    }

    /**
     * One model.
     *
     * @param id its name
     * @param object always {@code model}
     * @param created when the configuration that names it was confirmed, in seconds since 1970
     * @param ownedBy who serves it
     * @param state ready, loading or cold
     * @param readyReplicas how many replicas of its base model are loaded
     */
    public record Entry(
            String id,
            String object,
            long created,
            @JsonProperty("owned_by") String ownedBy,
            String state,
            @JsonProperty("ready_replicas") int readyReplicas) {}
}
