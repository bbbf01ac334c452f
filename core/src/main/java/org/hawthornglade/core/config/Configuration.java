package org.hawthornglade.core.config;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.id.ServiceName;

/**
 * One confirmed, immutable version of everything that operators configure.
 *
 * @param version increases by one with each confirm; 0 is the empty configuration before the first
 * @param office the office that confirmed it
 * @param planId the plan that was confirmed, so that a repeated confirm is recognised
 * @param confirmedAtMs when it was confirmed, in milliseconds since the Unix epoch
 * @param organisations the organisations that may call
 * @param classes the classes of service
 * @param models the base models
 * @param adapters the adapters
 * @param services the plain services
 * @param idle the cost of idle accelerators
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Configuration(
        long version,
        String office,
        String planId,
        long confirmedAtMs,
        List<OrganisationSpec> organisations,
        List<ClassSpec> classes,
        List<ModelSpec> models,
        List<AdapterSpec> adapters,
        List<ServiceSpec> services,
        IdleSpec idle) {
    private static final IdleSpec DEFAULT_IDLE = new IdleSpec(60);

    /** Copies the lists. */
    public Configuration {
        organisations = organisations == null ? List.of() : List.copyOf(organisations);
        classes = classes == null ? List.of() : List.copyOf(classes);
        models = models == null ? List.of() : List.copyOf(models);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        services = services == null ? List.of() : List.copyOf(services);
        idle = idle == null ? DEFAULT_IDLE : idle;
    }

    /** Returns the configuration before the first confirm. */
    public static Configuration empty() {
        return new Configuration(0, "", "", 0, null, null, null, null, null, null);
    }

    /** Returns this configuration with the given time of its confirm. */
    public Configuration confirmedAt(long timeMs) {
        return new Configuration(
                version, office, planId, timeMs, organisations, classes, models, adapters, services, idle);
    }

    /** Returns the base model with this name, if there is one. */
    public Optional<ModelSpec> model(ModelName name) {
        return models.stream().filter(spec -> spec.name().equals(name)).findFirst();
    }

    /** Returns the adapter with this name, if there is one. */
    public Optional<AdapterSpec> adapter(ModelName name) {
        return adapters.stream().filter(spec -> spec.name().equals(name)).findFirst();
    }

    /** Returns the base model for a name that callers use: the model itself, or the base of an adapter. */
    public Optional<ModelSpec> baseOf(ModelName name) {
        return adapter(name).map(spec -> model(spec.base())).orElseGet(() -> model(name));
    }

    /** Returns the plain service with this name, if there is one. */
    public Optional<ServiceSpec> service(ServiceName name) {
        return services.stream().filter(spec -> spec.name().equals(name)).findFirst();
    }

    /** Returns the class of service with this name, if there is one. */
    public Optional<ClassSpec> serviceClass(ServiceClass name) {
        return classes.stream().filter(spec -> spec.name().equals(name)).findFirst();
    }

    /** Returns the organisation with this id, if there is one. */
    public Optional<OrganisationSpec> organisation(OrganisationId id) {
        return organisations.stream().filter(spec -> spec.id().equals(id)).findFirst();
    }
}
