package org.hawthornglade.core.replica;

import java.util.Optional;
import org.hawthornglade.core.fleet.InstanceVersion;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/**
 * An order to an engine.
 *
 * @param instance the engine
 * @param action what to do
 * @param model the model, or the base of the adapter
 * @param adapter the adapter, where the order is about one
 * @param expected the start of the engine and the orders that it has taken; it does nothing if the number differs
 */
public record ReplicaOrder(
        InstanceId instance,
        OrderAction action,
        ModelName model,
        Optional<AdapterName> adapter,
        InstanceVersion expected) {}
