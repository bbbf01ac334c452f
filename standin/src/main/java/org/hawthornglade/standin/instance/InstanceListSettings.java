package org.hawthornglade.standin.instance;

import java.util.List;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.standin.StandinSettings;
import org.hawthornglade.standin.fault.FaultScript;

/**
 * Settings of an instance list.
 *
 * @param name tells it apart
 * @param port where it listens; 0 picks a free one
 * @param lagMs how late a change shows on the list, in milliseconds
 * @param instances the lines to start with
 * @param faults the faults to start with; null for none
 */
public record InstanceListSettings(String name, int port, long lagMs, List<InstanceInfo> instances, FaultScript faults)
        implements StandinSettings {
    /** Copies the list. */
    public InstanceListSettings {
        instances = instances == null ? List.of() : List.copyOf(instances);
    }
}
