package org.hawthornglade.standin.table;

import org.hawthornglade.standin.StandinSettings;
import org.hawthornglade.standin.fault.FaultScript;

/**
 * Settings of a table service.
 *
 * @param name tells it apart
 * @param port where it listens; 0 picks a free one
 * @param writesPerSecond how many transactions it takes a second; 0 takes 500
 * @param readsPerSecond how many reads and scans it takes a second; 0 takes 2000
 * @param faults the faults to start with; null for none
 */
public record TableSettings(String name, int port, int writesPerSecond, int readsPerSecond, FaultScript faults)
        implements StandinSettings {
    private static final int DEFAULT_WRITES_PER_SECOND = 500;
    private static final int DEFAULT_READS_PER_SECOND = 2_000;

    /** Fills in what is 0. */
    public TableSettings {
        writesPerSecond = writesPerSecond == 0 ? DEFAULT_WRITES_PER_SECOND : writesPerSecond;
        readsPerSecond = readsPerSecond == 0 ? DEFAULT_READS_PER_SECOND : readsPerSecond;
    }

    /** Makes settings without faults, with a free port and the usual rates. */
    public static TableSettings of(String name) {
        return new TableSettings(name, 0, 0, 0, null);
    }
}
