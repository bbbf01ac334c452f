package org.hawthornglade.core.instance;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;

/**
 * One record of the platform's instance list.
 *
 * @param id the instance
 * @param role what runs on it
 * @param service the plain service of an instance with role {@link InstanceRole#SERVICE}; else null
 * @param failureDomain the failure domain in which it runs
 * @param host its IP address
 * @param httpPort the port of the process there for data
 * @param controlPort the port of the process there for control; 0 for an entry
 * @param memoryMb the accelerator memory of its engine in MiB; 0 if it has none
 * @param accelerators the number of accelerators of its engine
 * @param state its state in the platform's list
 */
public record InstanceInfo(
        InstanceId id,
        InstanceRole role,
        ServiceName service,
        FailureDomain failureDomain,
        String host,
        int httpPort,
        int controlPort,
        int memoryMb,
        int accelerators,
        InstanceState state) {}
