package org.hawthornglade.bench.experiment;

import java.util.List;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.IdleSpec;
import org.hawthornglade.core.id.ServiceClass;

/**
 * The sizes and limits of one deployment.
 *
 * @param name its name
 * @param failureDomains in how many failure domains its servers are
 * @param servers how many servers run models; those for plain services only are left out
 * @param acceleratorsPerServer how many accelerators one of them has
 * @param entries how many entries take requests
 * @param models how many base models there are
 * @param adapters how many adapters there are
 * @param organisations how many organisations call
 * @param storeLoadsPerSecond how many loads a second the weight store lets start
 * @param adapterLoadMs the longest time of an adapter load below the knee, in milliseconds
 * @param classes the classes of service
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
    /** How many loads the weight store carries at full speed at once. */
    static final int STORE_FULL_SPEED_LOADS = 4;

    private static final int MAX_QUEUED = 400;

    /** Waiting for a cold start weighs more than idle accelerators. */
    static Deployment lagiHangat() {
        List<ClassSpec> classes = List.of(
                new ClassSpec(ServiceClass.of("estimate"), 4, 60_000, MAX_QUEUED),
                new ClassSpec(ServiceClass.of("review"), 1, 240_000, MAX_QUEUED));
        return new Deployment("lagi-hangat", 4, 8, 4, 4, 45, 60, 12, 2, 15, classes, new IdleSpec(10));
    }

    /** Idle accelerators weigh more than waiting for a cold start. */
    static Deployment calecheNdar() {
        List<ClassSpec> classes = List.of(
                new ClassSpec(ServiceClass.of("driver"), 3, 60_000, MAX_QUEUED),
                new ClassSpec(ServiceClass.of("note"), 2, 180_000, MAX_QUEUED),
                new ClassSpec(ServiceClass.of("question"), 1, 90_000, MAX_QUEUED));
        return new Deployment("caleche-ndar", 3, 13, 2, 3, 35, 120, 4, 4, 10, classes, new IdleSpec(200));
    }
}
