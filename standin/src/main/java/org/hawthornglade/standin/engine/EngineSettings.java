package org.hawthornglade.standin.engine;

import java.util.List;
import org.hawthornglade.core.engine.CachedCheckpoint;
import org.hawthornglade.standin.StandinSettings;
import org.hawthornglade.standin.fault.FaultScript;

/**
 * Settings of a model engine.
 *
 * @param name the unique name of the stand-in
 * @param port the port to listen on; 0 selects a free one
 * @param memoryMb its accelerator memory, in MiB
 * @param checksFencing whether it refuses an order with a stale fencing number
 * @param weightStore the address of its weight store, or the name of one in the same process; null for a store
 *     without contention
 * @param memoryMbPerSecond load rate of a checkpoint from memory, in MiB per second; 0 selects 20000
 * @param diskMbPerSecond load rate from disk, in MiB per second; 0 selects 4000
 * @param remoteMbPerSecond load rate of a remote checkpoint without a weight store, in MiB per second; 0 selects
 *     1000
 * @param unloadMs duration of an unload, in milliseconds
 * @param adapterLoadMs load time of an adapter while few requests run, in milliseconds; 0 selects 8
 * @param adapterKnee number of running requests above which adapters load slower; 0 selects 30
 * @param reportLagMs age of its reports, in milliseconds
 * @param firstTokenMs time from the start of a request to its first token, in milliseconds
 * @param betweenTokenMs time from one token to the next, in milliseconds
 * @param maxConcurrent maximum number of concurrent requests; further ones wait; 0 selects 64
 * @param naturalTokens number of tokens of an answer unless the request sets a lower maximum; 0 selects 32
 * @param cached checkpoints that are initially available locally
 * @param faults the initial faults; null for none
 */
public record EngineSettings(
        String name,
        int port,
        int memoryMb,
        boolean checksFencing,
        String weightStore,
        int memoryMbPerSecond,
        int diskMbPerSecond,
        int remoteMbPerSecond,
        int unloadMs,
        int adapterLoadMs,
        int adapterKnee,
        int reportLagMs,
        int firstTokenMs,
        int betweenTokenMs,
        int maxConcurrent,
        int naturalTokens,
        List<CachedCheckpoint> cached,
        FaultScript faults)
        implements StandinSettings {
    private static final int DEFAULT_MEMORY_MB_PER_SECOND = 20_000;
    private static final int DEFAULT_DISK_MB_PER_SECOND = 4_000;
    private static final int DEFAULT_REMOTE_MB_PER_SECOND = 1_000;
    private static final int DEFAULT_ADAPTER_LOAD_MS = 8;
    private static final int DEFAULT_ADAPTER_KNEE = 30;
    private static final int DEFAULT_MAX_CONCURRENT = 64;
    private static final int DEFAULT_NATURAL_TOKENS = 32;

    /** Replaces 0 by the default values and copies the list. */
    public EngineSettings {
        memoryMbPerSecond = orElse(memoryMbPerSecond, DEFAULT_MEMORY_MB_PER_SECOND);
        diskMbPerSecond = orElse(diskMbPerSecond, DEFAULT_DISK_MB_PER_SECOND);
        remoteMbPerSecond = orElse(remoteMbPerSecond, DEFAULT_REMOTE_MB_PER_SECOND);
        adapterLoadMs = orElse(adapterLoadMs, DEFAULT_ADAPTER_LOAD_MS);
        adapterKnee = orElse(adapterKnee, DEFAULT_ADAPTER_KNEE);
        maxConcurrent = orElse(maxConcurrent, DEFAULT_MAX_CONCURRENT);
        naturalTokens = orElse(naturalTokens, DEFAULT_NATURAL_TOKENS);
        cached = cached == null ? List.of() : List.copyOf(cached);
    }

    private static int orElse(int value, int defaultValue) {
        return value == 0 ? defaultValue : value;
    }
}
