package org.hawthornglade.core.replica;

import java.util.Optional;
import org.hawthornglade.core.fleet.InstanceVersion;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/**
 * An order to an engine to load or unload a model or an adapter.
 *
 * @param instance the engine
 * @param action whether to load or to unload
 * @param model the model, or the base model of the adapter
 * @param adapter the adapter; empty if the order is about the model
 * @param expected the expected start of the engine and number of orders that it has accepted; the order has no effect
 *     if they differ
 */
public record ReplicaOrder(
        InstanceId instance,
        OrderAction action,
        ModelName model,
        Optional<AdapterName> adapter,
        InstanceVersion expected) {}
