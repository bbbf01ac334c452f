package org.hawthornglade.bench.experiment;

import java.util.List;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.id.ModelName;

/**
 * One base model of a trace.
 *
 * @param spec what operators declare
 * @param tiers where its checkpoint lies for each server
 * @param adapters the adapters on it
 */
record ModelProfile(ModelSpec spec, List<CheckpointTier> tiers, List<ModelName> adapters) {
    ModelName name() {
        return spec.name();
    }
}
