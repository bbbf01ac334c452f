package org.hawthornglade.core.placement;

import org.hawthornglade.core.id.ModelName;

/**
 * A replica that the configuration allows but that no available instance can hold.
 *
 * @param model the base model
 * @param ordinal the ordinal of the replica
 */
public record UnplacedReplica(ModelName model, int ordinal) {}
