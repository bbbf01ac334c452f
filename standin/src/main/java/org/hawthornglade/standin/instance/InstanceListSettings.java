package org.hawthornglade.standin.instance;

import java.util.List;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.standin.StandinSettings;
import org.hawthornglade.standin.fault.FaultScript;

/**
 * Settings of an instance list.
 *
 * @param name the unique name of the stand-in
 * @param port the port to listen on; 0 selects a free one
 * @param lagMs the delay until a change becomes visible, in milliseconds
 * @param instances the initial instances
 * @param faults the initial faults; null for none
 */
public record InstanceListSettings(String name, int port, long lagMs, List<InstanceInfo> instances, FaultScript faults)
        implements StandinSettings {
    /** Copies the list. */
    public InstanceListSettings {
        instances = instances == null ? List.of() : List.copyOf(instances);
    }
}
