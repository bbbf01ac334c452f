package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;

/**
 * A model or adapter that will be unloaded from an instance.
 *
 * @param model the model or adapter
 * @param instance the instance on which it may currently be loaded
 * @param organisations the organisations that may currently call it
 * @param reason why it is unloaded
 */
public record Unload(ModelName model, InstanceId instance, List<OrganisationId> organisations, String reason) {
    /** Copies the list. */
    public Unload {
        organisations = List.copyOf(organisations);
    }
}
