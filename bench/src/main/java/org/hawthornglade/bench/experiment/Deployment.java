package org.hawthornglade.bench.experiment;

import java.util.List;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.IdleSpec;
import org.hawthornglade.core.id.ServiceClass;

/**
 * Holds the sizes and limits of one deployment.
 *
 * @param name the deployment's name
 * @param failureDomains the number of failure domains
 * @param servers the number of servers that run models; those only for plain services are not counted
 * @param acceleratorsPerServer the number of accelerators of each server
 * @param entries the number of entries
 * @param models the number of base models
 * @param adapters the number of adapters
 * @param organisations the number of organisations
 * @param storeLoadsPerSecond the number of loads per second that the weight store lets start
 * @param adapterLoadMs the longest time of an adapter load below the knee, in milliseconds
 * @param classes the service classes
 * @param idle the price of idleness
 */
record Deployment(
        String name,
        int failureDomains,
        int servers,
        int acceleratorsPerServer,
        int entries,
        int models,
        int adapters,
        int organisations,
        int storeLoadsPerSecond,
        int adapterLoadMs,
        List<ClassSpec> classes,
        IdleSpec idle) {
    /** The number of concurrent loads that the weight store serves at full speed. */
    static final int STORE_FULL_SPEED_LOADS = 4;

    private static final int MAX_QUEUED = 400;

    /** Returns the deployment where waiting for a cold start costs more than idle accelerators. */
    static Deployment lagiHangat() {
        List<ClassSpec> classes = List.of(
                new ClassSpec(ServiceClass.of("estimate"), 4, 60_000, MAX_QUEUED),
                new ClassSpec(ServiceClass.of("review"), 1, 240_000, MAX_QUEUED));
        return new Deployment("lagi-hangat", 4, 8, 4, 4, 45, 60, 12, 2, 15, classes, new IdleSpec(10));
    }

    /** Returns the deployment where idle accelerators cost more than waiting for a cold start. */
    static Deployment calecheNdar() {
        List<ClassSpec> classes = List.of(
                new ClassSpec(ServiceClass.of("driver"), 3, 60_000, MAX_QUEUED),
                new ClassSpec(ServiceClass.of("note"), 2, 180_000, MAX_QUEUED),
                new ClassSpec(ServiceClass.of("question"), 1, 90_000, MAX_QUEUED));
        return new Deployment("caleche-ndar", 3, 13, 2, 3, 35, 120, 4, 4, 10, classes, new IdleSpec(200));
    }
}
