package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.config.IdleSpec;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.id.ServiceName;

/**
 * An operator's requested changes of the configuration: entries to add or change and entries to remove. All other
 * entries stay unchanged.
 *
 * @param reason why the change is made, for other offices to read
 * @param organisations organisations to add or change
 * @param removeOrganisations organisations to remove
 * @param classes classes of service to add or change
 * @param removeClasses classes of service to remove
 * @param models base models to add or change
 * @param removeModels base models to remove
 * @param adapters adapters to add or change
 * @param removeAdapters adapters to remove
 * @param services plain services to add or change
 * @param removeServices plain services to remove
 * @param idle the new idle cost setting; null keeps the current one
 */
public record Intent(
        String reason,
        List<OrganisationChange> organisations,
        List<OrganisationId> removeOrganisations,
        List<ClassChange> classes,
        List<ServiceClass> removeClasses,
        List<ModelChange> models,
        List<ModelName> removeModels,
        List<AdapterChange> adapters,
        List<ModelName> removeAdapters,
        List<ServiceChange> services,
        List<ServiceName> removeServices,
        IdleSpec idle) {
    /** Copies the lists. */
    public Intent {
        reason = reason == null ? "" : reason;
        organisations = copy(organisations);
        removeOrganisations = copy(removeOrganisations);
        classes = copy(classes);
        removeClasses = copy(removeClasses);
        models = copy(models);
        removeModels = copy(removeModels);
        adapters = copy(adapters);
        removeAdapters = copy(removeAdapters);
        services = copy(services);
        removeServices = copy(removeServices);
    }

    private static <T> List<T> copy(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }
}
