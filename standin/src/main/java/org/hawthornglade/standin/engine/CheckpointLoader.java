package org.hawthornglade.standin.engine;

import java.util.function.Consumer;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.standin.time.Timers;
import org.hawthornglade.standin.weight.FetchRequest;
import org.hawthornglade.standin.weight.WeightStore;

/** Simulates the time that loading a checkpoint into accelerator memory takes. */
public final class CheckpointLoader {
    private static final long MS_PER_SECOND = 1_000;

    private final EngineSettings settings;
    private final Timers timers;
    private final WeightStore store;

    /**
     * Creates a loader.
     *
     * @param store the source of remote checkpoints; null for one without contention
     */
    public CheckpointLoader(EngineSettings settings, Timers timers, WeightStore store) {
        this.settings = settings;
        this.timers = timers;
        this.store = store;
    }

    /**
     * Loads a checkpoint.
     *
     * @param sizeMb its size in MiB
     * @param tier where it is stored
     * @param crashes whether the load fails part-way
     * @param done called once with whether the checkpoint was loaded completely
     */
    void load(
            ModelName model, String version, int sizeMb, CheckpointTier tier, boolean crashes, Consumer<Boolean> done) {
        if (tier == CheckpointTier.REMOTE && store != null) {
            fetch(new FetchRequest(model.value(), version, sizeMb), loaded -> done.accept(loaded && !crashes));
            return;
        }
        long fullMs = sizeMb * MS_PER_SECOND / mbPerSecond(tier);
        timers.after(crashes ? fullMs / 2 : fullMs, () -> done.accept(!crashes));
    }

    /** Repeats a fetch that was rejected for the rate limit; any other failure aborts the load. */
    private void fetch(FetchRequest request, Consumer<Boolean> done) {
        store.fetch(request, result -> {
            if (result.isLeft() && result.getLeft().code() == ResultCode.PLATFORM_RATE_LIMITED) {
                timers.after(result.getLeft().retryAfterMs(), () -> fetch(request, done));
                return;
            }
            done.accept(result.isRight());
        });
    }

    private int mbPerSecond(CheckpointTier tier) {
        return switch (tier) {
            case MEMORY -> settings.memoryMbPerSecond();
            case DISK -> settings.diskMbPerSecond();
            case REMOTE -> settings.remoteMbPerSecond();
        };
    }
}
