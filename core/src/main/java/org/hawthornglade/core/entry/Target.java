package org.hawthornglade.core.entry;

import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;

/** What a request is run on: a model or a plain service. */
public sealed interface Target {
    /** Returns the name shown in the timeline. */
    String name();

    /**
     * A base model, optionally with an adapter.
     *
     * @param base the base model
     * @param adapter the adapter; null if none
     */
    record OnModel(ModelName base, ModelName adapter) implements Target {
        @Override
        public String name() {
            return adapter == null ? base.value() : adapter.value();
        }
    }

    /**
     * A plain service.
     *
     * @param service the service
     */
    record OnService(ServiceName service) implements Target {
        @Override
        public String name() {
            return service.value();
        }
    }
}
