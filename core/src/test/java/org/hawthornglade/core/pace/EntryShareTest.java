package org.hawthornglade.core.pace;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EntryShareTest {
    private static final int SEEDS = 50;

    /** A call that waited alone was not started for 300 ms or more although the server had room. */
    @ParameterizedTest
    @CsvSource({"27, 64, 16, 0", "27, 64, 2, 14", "31, 64, 1, 15", "300, 64, 16, 0", "300, 64, 1, 5", "4, 6, 1, 1"})
    void loneCallIsStartedAtOnceWhileThereIsRoom(int entries, int slots, int room, int others) {
        for (int seed = 0; seed < SEEDS; seed++) {
            ServerPace pace = new ServerPace(slots);
            Random random = new Random(31L * seed);
            // A call that came before has ended; the server has been known for a while.
            pace.share().mayStart(room, 0, others, entries, false, random, 0);
            boolean started = pace.share().mayStart(room, 0, others, entries, false, random, 5_000);
            assertWithMessage("seed %s", seed).that(started).isTrue();
        }
    }
}
