package org.hawthornglade.core.config;

import java.util.List;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;

/**
 * A base model that is served.
 *
 * @param name the name that callers use
 * @param version the version of the checkpoint
 * @param memoryMb accelerator memory that the weights take, in MiB
 * @param kvCacheMb accelerator memory reserved for the KV cache, in MiB
 * @param accelerators the number of accelerators per replica
 * @param maxReplicas the maximum number of loaded replicas
 * @param maxConcurrent how many requests one replica runs at once
 * @param organisations the organisations that may call it
 * @param serviceClass the class of a request whose key does not name one
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
