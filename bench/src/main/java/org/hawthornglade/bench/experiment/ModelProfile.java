package org.hawthornglade.bench.experiment;

import java.util.List;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.id.ModelName;

/**
 * A base model of a trace.
 *
 * @param spec the model as declared by operators
 * @param tiers the nearest tier of its checkpoint for each server
 * @param adapters the adapters of the model
 */
record ModelProfile(ModelSpec spec, List<CheckpointTier> tiers, List<ModelName> adapters) {
    ModelName name() {
        return spec.name();
    }
}
