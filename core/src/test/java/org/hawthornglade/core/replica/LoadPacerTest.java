package org.hawthornglade.core.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Weight stores that serve one load at full speed, several, or as many as are asked for. */
class LoadPacerTest {
    private static final double MANY_PER_S = 100;
    private static final double NOMINAL_S = 13;

    private static EngineDefinition engine(double loadsPerS) {
        ModelName name = ModelName.of("m");
        ModelDefinition model = new ModelDefinition(name, 70_000, Math.round(NOMINAL_S * 1_000), 600, 1_300, 50);
        return new EngineDefinition(64, 200_000, 142_000, 4, loadsPerS, Map.of(name, model));
    }

    @ParameterizedTest
    @CsvSource({"0.1, 4", "2, 7", "4, 13", "11, 32"})
    void aStoreOfAHigherRateIsAskedForMoreLoadsAtFirst(double loadsPerS, int atOnce) {
        assertThat(new LoadPacer(engine(loadsPerS)).atOnce()).isEqualTo(atOnce);
    }

    /** Runs as many loads as may run at once, ten times over. */
    @ParameterizedTest
    @CsvSource({"1, 1, 1", "4, 3, 6", "16, 14, 20", "1000, 40, 64"})
    void asManyLoadsRunAtOnceAsTheStoreServesAtFullSpeed(int atFullSpeed, int least, int most) {
        LoadPacer pacer = new LoadPacer(engine(2));
        long nowMs = 0;
        for (int round = 0; round < 10; round++) {
            int running = pacer.atOnce();
            double slowdown = Math.max(1, (double) running / atFullSpeed);
            nowMs += Math.round(NOMINAL_S * slowdown * 1_000);
            for (int load = 0; load < running; load++) {
                pacer.onEnd(slowdown, running, nowMs);
            }
        }
        assertThat(pacer.atOnce()).isAtLeast(least);
        assertThat(pacer.atOnce()).isAtMost(most);
    }

    @Test
    void aNumberThatIsNotUsedDoesNotGrow() {
        LoadPacer pacer = new LoadPacer(engine(2));
        for (int i = 0; i < 20; i++) {
            pacer.onEnd(1, 1, 1_000L * i);
        }
        assertThat(pacer.atOnce()).isEqualTo(7);
    }

    @Test
    void theStoresRateHoldsHoweverManyMayRunAtOnce() {
        LoadPacer pacer = new LoadPacer(engine(2));
        for (int i = 0; i < 30; i++) {
            pacer.onEnd(1, 100, 0);
        }
        assertThat(pacer.mayBegin(MANY_PER_S, 10, 0)).isTrue();
        for (int i = 0; i < 10; i++) {
            pacer.onBegin(0);
        }
        assertThat(pacer.mayBegin(2, 0, LoadPacer.WINDOW_MS)).isFalse();
        assertThat(pacer.mayBegin(2, 0, LoadPacer.WINDOW_MS + 1)).isTrue();
    }
}
