package org.hawthornglade.core.fleet;

import java.util.Optional;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.ModelName;

/**
 * A model, or an adapter on it.
 *
 * @param model the base model
 * @param adapter the adapter, if one is meant
 */
public record Variant(ModelName model, Optional<AdapterName> adapter) {}
