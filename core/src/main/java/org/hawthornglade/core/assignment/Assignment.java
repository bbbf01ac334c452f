package org.hawthornglade.core.assignment;

import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/**
 * The right of one instance to hold one replica of a model; it never expires.
 *
 * @param model the base model
 * @param ordinal the replica's number, from 0
 * @param instance the instance that may load it
 * @param state whether the holder may keep the replica or has to release it
 * @param configVersion the configuration version it was last changed for
 */
public record Assignment(ModelName model, int ordinal, InstanceId instance, AssignmentState state, long configVersion) {
    /** The table that holds one row for each assignment. */
    public static final String TABLE = "assignments";

    /** Returns the row's key in {@link #TABLE}. */
    public String key() {
        return keyOf(model, ordinal);
    }

    /** Returns the row's key for a replica. */
    public static String keyOf(ModelName model, int ordinal) {
        return model.value() + "#" + ordinal;
    }

    /** Returns this assignment in another state. */
    public Assignment withState(AssignmentState newState) {
        return new Assignment(model, ordinal, instance, newState, configVersion);
    }
}
