package org.hawthornglade.core.notice;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointNoticesTest {
    private final EndpointNotices notices = new EndpointNotices();

    /** Guards against sending to an endpoint that has rejected a request with a retry-after time. */
    @ParameterizedTest
    @CsvSource({"0, false", "500, false", "1999, false", "2000, true"})
    void pausedEndpointAcceptsNoCallsUntilThePauseEnds(long afterMs, boolean acceptsCalls) {
        notices.pause().receive(2_000, 10_000);
        assertThat(notices.acceptsCalls(10_000 + afterMs)).isEqualTo(acceptsCalls);
    }

    @ParameterizedTest
    @CsvSource({"2000, 300, 2000", "300, 2000, 2100", "2000, 2000, 2100"})
    void laterEndExtendsThePauseAndAnEarlierOneDoesNotShortenIt(long firstMs, long secondMs, long untilMs) {
        notices.pause().receive(firstMs, 0);
        notices.pause().receive(secondMs, 100);
        assertThat(notices.pause().untilMs()).isEqualTo(untilMs);
    }

    @Test
    void leavingEndpointAcceptsNoCallsAfterItsPauseEither() {
        notices.leaving().markReceived();
        notices.pause().receive(5_000, 0);
        assertThat(notices.leaving().received()).isTrue();
        assertThat(notices.acceptsCalls(6_000)).isFalse();
    }

    private static OptionalDouble limit(String value) {
        return "-".equals(value) ? OptionalDouble.empty() : OptionalDouble.of(Double.parseDouble(value));
    }

    /** Guards against a response created earlier but received later that lifts or raises a newer limit. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "first limit, -, -1000, -1000, 1, 0, 10, 1",
        "absent in the response to a later request, 1, 0, 10, -, 10, 20, -",
        "absent in an overlapping response, 1, 0, 10, -, 5, 20, 1",
        "absent in an older response that arrives late, 1, 100, 110, -, 0, 200, 1",
        "raised by a later request, 1, 0, 10, 3, 12, 15, 3",
        "raised in an overlapping response, 1, 0, 10, 3, 9, 15, 1",
        "lowered by a later request, 3, 0, 10, 0.5, 12, 15, 0.5",
        "lowered in an overlapping response, 3, 0, 10, 0.5, 9, 15, 0.5",
        "lowered in a definitely older response, 3, 100, 110, 0.5, 0, 90, 3",
        "lowered to zero, 3, 0, 10, 0, 12, 15, 0"
    })
    void newerLimitAppliesAndTheStricterOneIfTheOrderIsUnknown(
            String name,
            String first,
            long sent1Ms,
            long received1Ms,
            String second,
            long sent2Ms,
            long received2Ms,
            String expected) {
        notices.rateLimit().update(new AdvertisedLimit(limit(first), sent1Ms, received1Ms));
        boolean changed = notices.rateLimit().update(new AdvertisedLimit(limit(second), sent2Ms, received2Ms));
        assertThat(notices.rateLimit().perSecond()).isEqualTo(limit(expected));
        assertThat(changed).isEqualTo(!limit(first).equals(limit(expected)));
    }
}
