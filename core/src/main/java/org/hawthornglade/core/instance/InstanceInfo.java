package org.hawthornglade.core.instance;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;

/**
 * One line of the platform's instance list.
 *
 * @param id the instance
 * @param role what runs there
 * @param service the plain service for {@link InstanceRole#SERVICE}; else null
 * @param failureDomain where it runs
 * @param host its IP number
 * @param httpPort the port of our process for data
 * @param controlPort the port of our process for control; 0 for an entry
 * @param memoryMb the accelerator memory of its engine in MiB; 0 if it has none
 * @param accelerators how many accelerators its engine has
 * @param state what the platform says of it
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
