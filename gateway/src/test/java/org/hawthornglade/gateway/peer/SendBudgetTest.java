package org.hawthornglade.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Bytes that count for the last second. */
class SendBudgetTest {
    /** Guards against a second whose two ends both carry a full budget. */
    @ParameterizedTest
    @CsvSource({"0, 15", "500, 15", "1000, 15", "1001, 5", "1501, 0"})
    void bytesCountForOneSecondWithBothItsEnds(long nowMs, long expectedBytes) {
        SendBudget budget = new SendBudget();
        budget.onSent(10, 0);
        if (nowMs >= 500) {
            budget.onSent(5, 500);
        } else {
            budget.onSent(5, 0);
        }
        assertThat(budget.sentBytes(nowMs)).isEqualTo(expectedBytes);
    }
}
