package org.hawthornglade.standin.engine;

import java.util.List;
import org.hawthornglade.core.engine.CachedCheckpoint;
import org.hawthornglade.standin.StandinSettings;
import org.hawthornglade.standin.fault.FaultScript;

/**
 * Settings of a model engine.
 *
 * @param name tells it apart
 * @param port where it listens; 0 picks a free one
 * @param memoryMb its accelerator memory, in MiB
 * @param checksFencing whether it refuses an order with an old fencing number
 * @param weightStore the address of its weight store, or the name of one in the same process; null for a store that is
 *     never busy
 * @param memoryMbPerSecond how fast it loads a checkpoint from memory, in MiB a second; 0 takes 20000
 * @param diskMbPerSecond how fast it loads one from disk, in MiB a second; 0 takes 4000
 * @param remoteMbPerSecond how fast it loads one if it has no weight store, in MiB a second; 0 takes 1000
 * @param unloadMs how long it takes to unload, in milliseconds
 * @param adapterLoadMs how long an adapter takes while few requests run, in milliseconds; 0 takes 8
 * @param adapterKnee how many requests run before adapters load slower; 0 takes 30
 * @param reportLagMs how old its reports are, in milliseconds
 * @param firstTokenMs from the start of a request to its first token, in milliseconds
 * @param betweenTokenMs from one token to the next, in milliseconds
 * @param maxConcurrent how many requests it runs at once; others wait; 0 takes 64
 * @param naturalTokens how many tokens an answer has unless the request asks for fewer; 0 takes 32
 * @param cached which checkpoints lie near at the start
 * @param faults the faults to start with; null for none
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

    /** Fills in what is 0 and copies the list. */
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

    private static int orElse(int value, int byDefault) {
        return value == 0 ? byDefault : value;
    }
}
