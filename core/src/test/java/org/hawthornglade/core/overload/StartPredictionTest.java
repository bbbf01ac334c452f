package org.hawthornglade.core.overload;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.hawthornglade.core.dispatch.SlotSupply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StartPredictionTest {
    private static final long NOW_MS = 50_000;
    private static final ServiceTime TIME = new ServiceTime(100, 1_000, 20);

    private static StartPrediction predict(int ahead, int own, int all, int entries, boolean hasRoom) {
        SlotSupply supply = new SlotSupply(2, own, all, hasRoom, OptionalLong.empty());
        return StartPrediction.of(ahead, supply, entries, TIME, NOW_MS);
    }

    /** The rate of free slots is that of this entry, and never less than an equal share of all. */
    @ParameterizedTest
    @CsvSource({
        "0, 8, 8, 1, 125",
        "7, 8, 8, 1, 1000",
        "0, 0, 64, 8, 125",
        "0, 0, 0, 27, 1000",
        "0, 20, 64, 8, 50",
        "3, 2, 64, 32, 2000",
    })
    void startIsLaterWithMoreCallsAhead(int ahead, int own, int all, int entries, long startInMs) {
        assertThat(predict(ahead, own, all, entries, false).startInMs()).isEqualTo(startInMs);
    }

    /** A call must not be refused while an endpoint has room, nor if it can be served in time. */
    @ParameterizedTest
    @CsvSource({
        "3, false, false, 601, false",
        "3, false, false, 599, true",
        "3, false, true, 481, false",
        "3, false, true, 479, true",
        "3, true, false, 479, false",
        "300, true, true, 1, false",
    })
    void callIsTooLateOnlyWithoutRoom(int ahead, boolean hasRoom, boolean waits, long leftMs, boolean tooLate) {
        assertThat(predict(ahead, 8, 8, 1, hasRoom).tooLate(leftMs, waits)).isEqualTo(tooLate);
    }

    /** A load that ends soon brings room that the calls in flight do not tell of. */
    @Test
    void loadOfTheModelBringsAnEarlierStart() {
        SlotSupply supply = new SlotSupply(2, 1, 1, false, OptionalLong.of(NOW_MS + 300));
        assertThat(StartPrediction.of(20, supply, 1, TIME, NOW_MS).startInMs()).isEqualTo(300);
    }
}
