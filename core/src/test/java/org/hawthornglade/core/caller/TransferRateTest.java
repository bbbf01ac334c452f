package org.hawthornglade.core.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.hawthornglade.core.serving.RequestLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against large bodies that stall and keep their memory, and against a rate that a legal sender misses. */
class TransferRateTest {
    private static final long RATE = 1_024;
    private static final long REQUIRED_BYTES = 5_120;
    private static final int LARGE_BYTES = 100_000;

    /** The slowest legal senders take the whole time for a body. */
    @ParameterizedTest
    @ValueSource(ints = {1, 100, 65_536, 65_537, 4_194_304})
    void steadySenderThatTakesTheWholeTimeIsNeverTooSlow(int bodyBytes) {
        for (boolean announced : new boolean[] {true, false}) {
            TransferRate rate = new TransferRate(RATE, announced ? bodyBytes : 0, 0);
            long sentBytes = 0;
            for (long nowMs = 1; nowMs <= RequestLimits.DEFAULT.idleTimeoutMs(); nowMs++) {
                int dueBytes = (int) (bodyBytes * nowMs / RequestLimits.DEFAULT.idleTimeoutMs() - sentBytes);
                assertWithMessage("at %s ms", nowMs).that(rate.tooSlow(nowMs)).isFalse();
                rate.onReceived(dueBytes, nowMs);
                sentBytes += dueBytes;
            }
            assertThat(sentBytes).isEqualTo(bodyBytes);
        }
    }

    @ParameterizedTest
    @CsvSource({"5000, false", "5001, true"})
    void largeBodyThatStopsShortOfItsEndIsTooSlowAfterAWindow(long pauseMs, boolean tooSlow) {
        TransferRate rate = new TransferRate(RATE, LARGE_BYTES, 0);
        rate.onReceived(LARGE_BYTES - 1, 100);
        assertThat(rate.tooSlow(100 + pauseMs)).isEqualTo(tooSlow);
    }

    @ParameterizedTest
    @CsvSource({"65536, false", "65537, true"})
    void bodyWithoutALengthHasARateOnceItIsLarge(int receivedBytes, boolean tooSlow) {
        TransferRate rate = new TransferRate(RATE, 0, 0);
        rate.onReceived(receivedBytes, 8_000);
        assertThat(rate.tooSlow(13_000)).isFalse();
        assertThat(rate.tooSlow(13_001)).isEqualTo(tooSlow);
    }

    /** Guards against single bytes that count as progress. */
    @Test
    void bytesBelowTheRateDoNotStartAnotherWindow() {
        TransferRate rate = new TransferRate(RATE, LARGE_BYTES, 0);
        rate.onReceived((int) REQUIRED_BYTES - 1, 4_999);
        assertThat(rate.windowBytes()).isEqualTo(REQUIRED_BYTES - 1);
        assertThat(rate.tooSlow(5_001)).isTrue();
        rate.onReceived(1, 5_001);
        assertThat(rate.tooSlow(10_001)).isFalse();
        assertThat(rate.tooSlow(10_002)).isTrue();
    }

    @Test
    void timeInWhichTheSenderCouldNotSendDoesNotCount() {
        TransferRate rate = new TransferRate(RATE, LARGE_BYTES, 0);
        rate.startWindow(9_000);
        assertThat(rate.tooSlow(14_000)).isFalse();
        assertThat(rate.tooSlow(14_001)).isTrue();
    }

    @Test
    void rateOfZeroIsNone() {
        TransferRate rate = new TransferRate(0, LARGE_BYTES, 0);
        rate.onReceived(1, 1);
        assertThat(rate.tooSlow(1_000_000)).isFalse();
    }
}
