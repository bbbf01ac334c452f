package org.hawthornglade.standin.weight;

import org.hawthornglade.standin.StandinSettings;
import org.hawthornglade.standin.fault.FaultScript;

/**
 * Settings of a weight store.
 *
 * @param name tells it apart
 * @param port where it listens; 0 picks a free one
 * @param loadsPerSecond how many fetches may begin a second; 0 takes 2
 * @param fullSpeedFetches how many fetches run at full speed together; 0 takes 4
 * @param fetchMbPerSecond the full speed of one fetch, in MiB a second; 0 takes 2000
 * @param faults the faults to start with; null for none
 */
public record WeightStoreSettings(
        String name, int port, int loadsPerSecond, int fullSpeedFetches, int fetchMbPerSecond, FaultScript faults)
        implements StandinSettings {
    private static final int DEFAULT_LOADS_PER_SECOND = 2;
    private static final int DEFAULT_FULL_SPEED_FETCHES = 4;
    private static final int DEFAULT_FETCH_MB_PER_SECOND = 2_000;

    /** Fills in what is 0. */
    public WeightStoreSettings {
        loadsPerSecond = loadsPerSecond == 0 ? DEFAULT_LOADS_PER_SECOND : loadsPerSecond;
        fullSpeedFetches = fullSpeedFetches == 0 ? DEFAULT_FULL_SPEED_FETCHES : fullSpeedFetches;
        fetchMbPerSecond = fetchMbPerSecond == 0 ? DEFAULT_FETCH_MB_PER_SECOND : fetchMbPerSecond;
    }
}
