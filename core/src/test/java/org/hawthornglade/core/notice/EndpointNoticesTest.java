package org.hawthornglade.core.notice;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointNoticesTest {
    private final EndpointNotices notices = new EndpointNotices();

    /** A server that turned a request away with a time to stay away was asked again at once. */
    @ParameterizedTest
    @CsvSource({"0, false", "500, false", "1999, false", "2000, true"})
    void anEndpointThatWantsNothingForATimeGetsNothingUntilThen(long afterMs, boolean takesCalls) {
        notices.pause().receive(2_000, 10_000);
        assertThat(notices.acceptsCalls(10_000 + afterMs)).isEqualTo(takesCalls);
    }

    @ParameterizedTest
    @CsvSource({"2000, 300, 2000", "300, 2000, 2100", "2000, 2000, 2100"})
    void aLongerTimeExtendsAndAShorterOneCutsNothing(long firstMs, long secondMs, long untilMs) {
        notices.pause().receive(firstMs, 0);
        notices.pause().receive(secondMs, 100);
        assertThat(notices.pause().untilMs()).isEqualTo(untilMs);
    }

    @Test
    void anEndpointThatLeavesTakesNoCallsAfterItsShutTimeEither() {
        notices.leaving().receive();
        notices.pause().receive(5_000, 0);
        assertThat(notices.leaving().received()).isTrue();
        assertThat(notices.acceptsCalls(6_000)).isFalse();
    }

    private static OptionalDouble limit(String value) {
        return "-".equals(value) ? OptionalDouble.empty() : OptionalDouble.of(Double.parseDouble(value));
    }

    /** An answer that was made earlier and arrived later lifted, or raised, a limit that was newer. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "first word, -, -1000, -1000, 1, 0, 10, 1",
        "gone in the answer to a later request, 1, 0, 10, -, 10, 20, -",
        "gone in an answer that overlaps, 1, 0, 10, -, 5, 20, 1",
        "gone in an older answer that came late, 1, 100, 110, -, 0, 200, 1",
        "raised by a later request, 1, 0, 10, 3, 12, 15, 3",
        "raised in an answer that overlaps, 1, 0, 10, 3, 9, 15, 1",
        "lowered by a later request, 3, 0, 10, 0.5, 12, 15, 0.5",
        "lowered in an answer that overlaps, 3, 0, 10, 0.5, 9, 15, 0.5",
        "lowered in an answer that is surely older, 3, 100, 110, 0.5, 0, 90, 3",
        "nothing may come, 3, 0, 10, 0, 12, 15, 0"
    })
    void ofTwoAnswersTheNewerHoldsAndTheStricterWhereThatIsNotKnown(
            String name,
            String first,
            long sent1Ms,
            long heard1Ms,
            String second,
            long sent2Ms,
            long heard2Ms,
            String then) {
        notices.rateLimit().update(new AdvertisedLimit(limit(first), sent1Ms, heard1Ms));
        boolean changed = notices.rateLimit().update(new AdvertisedLimit(limit(second), sent2Ms, heard2Ms));
        assertThat(notices.rateLimit().perSecond()).isEqualTo(limit(then));
        assertThat(changed).isEqualTo(!limit(first).equals(limit(then)));
    }
}
