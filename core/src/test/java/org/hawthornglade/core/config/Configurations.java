package org.hawthornglade.core.config;

import java.util.List;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.id.ServiceName;

/** Creates configurations for tests. */
public final class Configurations {
    public static final OrganisationId MILLS = OrganisationId.of("mills");
    public static final ServiceClass DRAFTING = ServiceClass.of("drafting");

    private Configurations() {}

    /** Returns a valid configuration with one entry of each kind; the model has 2 replicas of 1000 MiB. */
    public static Configuration valid() {
        return new Configuration(
                1,
                "office",
                "plan-0",
                1_000,
                List.of(new OrganisationSpec(MILLS, 1, 8)),
                List.of(new ClassSpec(DRAFTING, 1, 2_000, 100)),
                List.of(model("quote", 1_000, 2)),
                List.of(new AdapterSpec(ModelName.of("quote-ms"), ModelName.of("quote"), "1", 20, List.of(MILLS))),
                List.of(new ServiceSpec(
                        ServiceName.of("orders"),
                        List.of(new OperationSpec("POST", "/orders", false)),
                        4,
                        List.of(MILLS),
                        DRAFTING)),
                new IdleSpec(60));
    }

    public static ModelSpec model(String name, int memoryMb, int maxReplicas) {
        return new ModelSpec(ModelName.of(name), "1", memoryMb, 0, 1, maxReplicas, 4, List.of(MILLS), DRAFTING);
    }

    /** Returns the valid configuration with other models and no adapters. */
    public static Configuration withModels(long version, List<ModelSpec> models) {
        Configuration base = valid();
        return new Configuration(
                version,
                base.office(),
                base.planId(),
                base.confirmedAtMs(),
                List.of(new OrganisationSpec(MILLS, 1, 1_000)),
                base.classes(),
                models,
                List.of(),
                base.services(),
                base.idle());
    }
}
