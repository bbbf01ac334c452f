package org.hawthornglade.standin.table;

import org.hawthornglade.standin.StandinSettings;
import org.hawthornglade.standin.fault.FaultScript;

/**
 * Settings of a table service.
 *
 * @param name the unique name of the stand-in
 * @param port the port to listen on; 0 selects a free one
 * @param writesPerSecond maximum rate of transactions per second; 0 selects 500
 * @param readsPerSecond maximum rate of reads and scans per second; 0 selects 2000
 * @param faults the initial faults; null for none
 */
public record TableSettings(String name, int port, int writesPerSecond, int readsPerSecond, FaultScript faults)
        implements StandinSettings {
    private static final int DEFAULT_WRITES_PER_SECOND = 500;
    private static final int DEFAULT_READS_PER_SECOND = 2_000;

    /** Replaces 0 by the default values. */
    public TableSettings {
        writesPerSecond = writesPerSecond == 0 ? DEFAULT_WRITES_PER_SECOND : writesPerSecond;
        readsPerSecond = readsPerSecond == 0 ? DEFAULT_READS_PER_SECOND : readsPerSecond;
    }

    /** Creates settings without faults, with a free port and the default rates. */
    public static TableSettings of(String name) {
        return new TableSettings(name, 0, 0, 0, null);
    }
}
