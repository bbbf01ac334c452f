package org.hawthornglade.standin.weight;

import org.hawthornglade.standin.StandinSettings;
import org.hawthornglade.standin.fault.FaultScript;

/**
 * Settings of a weight store.
 *
 * @param name the unique name of the stand-in
 * @param port the port to listen on; 0 selects a free one
 * @param loadsPerSecond maximum rate of new fetches per second; 0 selects 2
 * @param fullSpeedFetches maximum number of concurrent fetches at full speed; 0 selects 4
 * @param fetchMbPerSecond full speed of one fetch, in MiB per second; 0 selects 2000
 * @param faults the initial faults; null for none
 */
public record WeightStoreSettings(
        String name, int port, int loadsPerSecond, int fullSpeedFetches, int fetchMbPerSecond, FaultScript faults)
        implements StandinSettings {
    private static final int DEFAULT_LOADS_PER_SECOND = 2;
    private static final int DEFAULT_FULL_SPEED_FETCHES = 4;
    private static final int DEFAULT_FETCH_MB_PER_SECOND = 2_000;

    /** Replaces 0 by the default values. */
    public WeightStoreSettings {
        loadsPerSecond = loadsPerSecond == 0 ? DEFAULT_LOADS_PER_SECOND : loadsPerSecond;
        fullSpeedFetches = fullSpeedFetches == 0 ? DEFAULT_FULL_SPEED_FETCHES : fullSpeedFetches;
        fetchMbPerSecond = fetchMbPerSecond == 0 ? DEFAULT_FETCH_MB_PER_SECOND : fetchMbPerSecond;
    }
}
