package org.hawthornglade.core.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the lease row has on the entries that may hold shares of quotas. */
class QuotaHoldersTest {
    /** Guards against a next leader that reads other entries than the last one wrote. */
    @Test
    void isReadAsWritten() {
        QuotaHolders holders = new QuotaHolders(27, Set.of(0, -1, QuotaHolders.hash("a"), QuotaHolders.hash("b")));
        assertThat(QuotaHolders.decode(holders.encode())).hasValue(holders);
        assertThat(QuotaHolders.decode(new QuotaHolders(1, Set.of()).encode())).hasValue(new QuotaHolders(1, Set.of()));
    }

    /** Guards against taking a row of an earlier version, or a damaged one, for one in which nobody holds a share. */
    @ParameterizedTest
    @ValueSource(strings = {"", ":", "0:", "-1:", "x:", "27", "27:0", "27:0000000g", "27:00000000000", "99999999999:"})
    void unreadableIsUnknown(String text) {
        assertThat(QuotaHolders.decode(text)).isEmpty();
    }

    /** Guards against a lease row that grows with the deployment until renewals take too long. */
    @Test
    void isNotWrittenForVeryManyEntries() {
        Set<Integer> hashes = IntStream.range(0, 513).boxed().collect(Collectors.toSet());
        assertThat(new QuotaHolders(513, hashes).encode()).isEqualTo(QuotaHolders.UNKNOWN);
    }
}
