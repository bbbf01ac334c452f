package org.hawthornglade.core.config;

import java.util.List;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;

/**
 * A base model that should be answerable.
 *
 * @param name the name callers use
 * @param version the checkpoint's version
 * @param memoryMb accelerator memory its weights take, in MiB
 * @param kvCacheMb accelerator memory reserved for its KV cache, in MiB
 * @param accelerators how many accelerators one replica takes
 * @param maxReplicas how many replicas may be loaded at most
 * @param maxConcurrent how many requests one replica runs at once
 * @param organisations who may call it
 * @param serviceClass the class of a request whose key names none
 */
public record ModelSpec(
        ModelName name,
        String version,
        int memoryMb,
        int kvCacheMb,
        int accelerators,
        int maxReplicas,
        int maxConcurrent,
        List<OrganisationId> organisations,
        ServiceClass serviceClass) {
    /** Copies the list. */
    public ModelSpec {
        organisations = organisations == null ? List.of() : List.copyOf(organisations);
    }

    /** Returns the accelerator memory that one replica reserves, in MiB. */
    public int reservedMb() {
        return memoryMb + kvCacheMb;
    }
}
