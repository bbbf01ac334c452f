package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import org.hawthornglade.core.id.ServiceName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When the number of entries changes while many calls fail, the retries already used are not refunded. */
class RetryBudgetsTest {
    private static final ServiceName SERVICE = ServiceName.of("orders");

    @ParameterizedTest
    @CsvSource({"10, 4, 0, 4", "10, 4, 5, 4", "10, 4, 8, 2", "4, 10, 1, 3"})
    void changingTheLimitsRefundsNothing(double before, double after, int used, int left) {
        RetryBudgets budgets = new RetryBudgets(0, before);
        for (int i = 0; i < used; i++) {
            assertThat(budgets.of(SERVICE).tryRetry()).isTrue();
        }
        budgets.updateLimits(0, after);
        int allowed = 0;
        while (budgets.of(SERVICE).tryRetry()) {
            allowed++;
        }
        assertThat(allowed).isEqualTo(left);
    }
}
