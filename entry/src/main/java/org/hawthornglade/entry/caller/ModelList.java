package org.hawthornglade.entry.caller;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The response to {@code GET /v1/models}.
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
     * An entry for one model.
     *
     * @param id the name of the model
     * @param object always {@code model}
     * @param created when the configuration that names it was confirmed, in seconds since the Unix epoch
     * @param ownedBy the system that serves it
     * @param state ready, loading or cold
     * @param readyReplicas the number of replicas of its base model that are ready
     */
    public record Entry(
            String id,
            String object,
            long created,
            @JsonProperty("owned_by") String ownedBy,
            String state,
            @JsonProperty("ready_replicas") int readyReplicas) {}
}
