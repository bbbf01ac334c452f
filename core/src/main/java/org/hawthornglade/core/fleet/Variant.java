package org.hawthornglade.core.fleet;

import java.util.Optional;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.ModelName;

/**
 * A model or one of its adapters.
 *
 * @param model the base model
 * @param adapter the adapter; empty for the base model itself
 */
public record Variant(ModelName model, Optional<AdapterName> adapter) {}
