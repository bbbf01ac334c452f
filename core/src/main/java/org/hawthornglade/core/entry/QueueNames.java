package org.hawthornglade.core.entry;

import org.hawthornglade.core.id.ModelName;

/** Names the queues: by the base model, or for a plain service by a name that no model has. */
final class QueueNames {
    private static final String SERVICE_PREFIX = "service::";
    private static final int MAX_LENGTH = 128;

    private QueueNames() {}

    static ModelName of(Target target) {
        if (target instanceof Target.OnModel onModel) {
            return onModel.base();
        }
        String name = SERVICE_PREFIX + target.name();
        if (name.length() <= MAX_LENGTH) {
            return ModelName.of(name);
        }
        String hash = Integer.toHexString(name.hashCode());
        return ModelName.of(name.substring(0, MAX_LENGTH - hash.length()) + hash);
    }
}
