package org.hawthornglade.core.placement;

import org.hawthornglade.core.id.ModelName;

/**
 * A replica that the configuration allows but that no available instance can hold.
 *
 * @param model the base model
 * @param ordinal the replica's number
 */
public record UnplacedReplica(ModelName model, int ordinal) {}
