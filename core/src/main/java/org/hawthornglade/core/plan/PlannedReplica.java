package org.hawthornglade.core.plan;

import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/**
 * A replica as it will be placed.
 *
 * @param model the base model
 * @param ordinal the ordinal of the replica
 * @param instance the instance; null if none has room
 * @param isNew whether the replica is not assigned to this instance yet
 */
public record PlannedReplica(ModelName model, int ordinal, InstanceId instance, boolean isNew) {}
