package org.hawthornglade.standin.engine;

import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.core.id.ModelName;

/** Holds the state of one model or adapter in an engine's memory. */
final class ResidentModel {
    final ModelName name;
    final String version;
    final ModelName base;
    final int memoryMb;
    LoadState state = LoadState.LOADING;
    int running;

    ResidentModel(EngineOrder order) {
        this.name = order.model();
        this.version = order.version();
        this.base = order.base();
        this.memoryMb = order.memoryMb();
    }

    EngineModel toReport() {
        return new EngineModel(name, version, base, state, memoryMb, running);
    }
}
