package org.hawthornglade.core.plan;

import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/**
 * A replica as it will be placed.
 *
 * @param model the base model
 * @param ordinal the replica's number
 * @param instance where; null if no instance has room
 * @param isNew whether it is not there today
 */
public record PlannedReplica(ModelName model, int ordinal, InstanceId instance, boolean isNew) {}
