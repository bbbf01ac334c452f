package org.hawthornglade.core.config;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;

/** Checks a configuration for faults: invalid ranges, references, duplicates and exceeded budgets. */
public final class ConfigurationValidator {
    private static final int MAX_MEMORY_MB = 4 * 1024 * 1024;
    private static final int MAX_ACCELERATORS_PER_REPLICA = 64;
    private static final int MAX_REPLICAS = 2_000;
    private static final int MAX_CONCURRENT = 10_000;
    private static final int MAX_QUEUED = 1_000_000;
    private static final int MAX_ACCELERATOR_BUDGET = 1_000_000;
    private static final long MAX_DEADLINE_MS = 24L * 60 * 60 * 1000;
    private static final double MAX_WEIGHT = 1_000_000;
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");

    private final FaultCollector faults = new FaultCollector();
    private final Configuration configuration;
    private final Set<OrganisationId> organisations;
    private final Set<ServiceClass> classes;

    private ConfigurationValidator(Configuration configuration) {
        this.configuration = configuration;
        this.organisations = configuration.organisations().stream()
                .map(OrganisationSpec::id)
                .filter(Objects::nonNull)
                .collect(Collectors.toSet());
        this.classes = configuration.classes().stream()
                .map(ClassSpec::name)
                .filter(Objects::nonNull)
                .collect(Collectors.toSet());
    }

    /**
     * Checks a configuration.
     *
     * @return all faults in document order; empty if the configuration may be confirmed
     */
    public static List<Fault> validate(Configuration configuration) {
        ConfigurationValidator validator = new ConfigurationValidator(configuration);
        validator.checkOrganisations();
        validator.checkClasses();
        validator.checkModels();
        validator.checkAdapters();
        validator.checkServices();
        validator.checkIdle();
        validator.checkBudgets();
        return validator.faults.faults();
    }

    private void checkOrganisations() {
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < configuration.organisations().size(); i++) {
            OrganisationSpec spec = configuration.organisations().get(i);
            String path = "/organisations/" + i;
            faults.unique(path + "/id", spec.id(), seen);
            faults.positive(path + "/share", spec.share(), MAX_WEIGHT);
            faults.range(path + "/maxAccelerators", spec.maxAccelerators(), 0, MAX_ACCELERATOR_BUDGET);
        }
    }

    private void checkClasses() {
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < configuration.classes().size(); i++) {
            ClassSpec spec = configuration.classes().get(i);
            String path = "/classes/" + i;
            faults.unique(path + "/name", spec.name(), seen);
            faults.positive(path + "/weight", spec.weight(), MAX_WEIGHT);
            faults.range(path + "/defaultDeadlineMs", spec.defaultDeadlineMs(), 1, MAX_DEADLINE_MS);
            faults.range(path + "/maxQueued", spec.maxQueued(), 0, MAX_QUEUED);
        }
    }

    private void checkModels() {
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < configuration.models().size(); i++) {
            ModelSpec spec = configuration.models().get(i);
            String path = "/models/" + i;
            faults.unique(path + "/name", spec.name(), seen);
            faults.present(path + "/version", spec.version());
            faults.range(path + "/memoryMb", spec.memoryMb(), 1, MAX_MEMORY_MB);
            faults.range(path + "/kvCacheMb", spec.kvCacheMb(), 0, MAX_MEMORY_MB);
            faults.range(path + "/accelerators", spec.accelerators(), 1, MAX_ACCELERATORS_PER_REPLICA);
            faults.range(path + "/maxReplicas", spec.maxReplicas(), 0, MAX_REPLICAS);
            faults.range(path + "/maxConcurrent", spec.maxConcurrent(), 1, MAX_CONCURRENT);
            faults.allKnown(path + "/organisations", spec.organisations(), organisations, "organisation");
            faults.known(path + "/serviceClass", spec.serviceClass(), classes, "class");
        }
    }

    private void checkAdapters() {
        Set<Object> models =
                configuration.models().stream().map(ModelSpec::name).collect(Collectors.toSet());
        Set<Object> seen = new HashSet<>(models);
        for (int i = 0; i < configuration.adapters().size(); i++) {
            AdapterSpec spec = configuration.adapters().get(i);
            String path = "/adapters/" + i;
            faults.unique(path + "/name", spec.name(), seen);
            faults.known(path + "/base", spec.base(), models, "model");
            faults.present(path + "/version", spec.version());
            faults.range(path + "/memoryMb", spec.memoryMb(), 1, MAX_MEMORY_MB);
            faults.allKnown(path + "/organisations", spec.organisations(), organisations, "organisation");
        }
    }

    private void checkServices() {
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < configuration.services().size(); i++) {
            ServiceSpec spec = configuration.services().get(i);
            String path = "/services/" + i;
            faults.unique(path + "/name", spec.name(), seen);
            faults.range(path + "/maxConcurrent", spec.maxConcurrent(), 1, MAX_CONCURRENT);
            faults.allKnown(path + "/organisations", spec.organisations(), organisations, "organisation");
            faults.known(path + "/serviceClass", spec.serviceClass(), classes, "class");
            checkOperations(path + "/operations", spec.operations());
        }
    }

    private void checkOperations(String path, List<OperationSpec> operations) {
        if (operations.isEmpty()) {
            faults.invalid(path, "is empty, must contain at least one operation");
        }
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < operations.size(); i++) {
            OperationSpec spec = operations.get(i);
            String operationPath = path + "/" + i;
            if (spec.method() == null || !METHODS.contains(spec.method())) {
                faults.invalid(
                        operationPath + "/method", "is '" + spec.method() + "', must be one of " + sorted(METHODS));
            }
            if (spec.pathPrefix() == null || !spec.pathPrefix().startsWith("/")) {
                faults.invalid(operationPath + "/pathPrefix", "must begin with a slash");
            }
            faults.unique(operationPath, spec.method() + " " + spec.pathPrefix(), seen);
        }
    }

    private void checkIdle() {
        double cost = configuration.idle().coldSecondsPerIdleHour();
        if (!(cost >= 0 && cost <= MAX_WEIGHT)) {
            faults.invalid("/idle/coldSecondsPerIdleHour", "is " + cost + ", must be from 0 to " + MAX_WEIGHT);
        }
    }

    private void checkBudgets() {
        for (int i = 0; i < configuration.organisations().size(); i++) {
            OrganisationSpec spec = configuration.organisations().get(i);
            long needed = acceleratorsOf(configuration, spec.id());
            if (spec.maxAccelerators() >= 0 && needed > spec.maxAccelerators()) {
                faults.overBudget(
                        "/organisations/" + i + "/maxAccelerators",
                        "the models of '" + spec.id() + "' take " + needed
                                + " accelerators with all replicas loaded, the budget is "
                                + spec.maxAccelerators());
            }
        }
    }

    /**
     * Returns how many accelerators the models that an organisation may call take with all replicas loaded.
     *
     * <p>A model that several organisations may call counts in full for each.
     */
    public static long acceleratorsOf(Configuration configuration, OrganisationId organisation) {
        return configuration.models().stream()
                .filter(model -> model.organisations().contains(organisation))
                .mapToLong(model -> (long) model.accelerators() * model.maxReplicas())
                .sum();
    }

    private static List<String> sorted(Set<String> names) {
        return names.stream().sorted().collect(Collectors.toList());
    }
}
