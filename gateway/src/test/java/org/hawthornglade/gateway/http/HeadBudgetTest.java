package org.hawthornglade.gateway.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against heads that fill the heap, and against an ordinary caller that is closed in place of a large one. */
class HeadBudgetTest {
    private static final long MAX_BYTES = 1_000;

    private final List<String> closed = new ArrayList<>();
    private final List<Long> reportedHeldBytes = new ArrayList<>();
    private final HeadBudget budget = new HeadBudget(MAX_BYTES, new CallerPressureListener() {
        @Override
        public void onClosed(String cause, long held, long limit) {
            assertThat(cause).isEqualTo("heads");
            assertThat(limit).isEqualTo(MAX_BYTES);
            reportedHeldBytes.add(held);
        }

        @Override
        public void onRefused(String cause, int status, long limit) {
            throw new AssertionError(cause);
        }
    });

    private HeadBudget.Holder holder(String name) {
        return () -> closed.add(name);
    }

    @Test
    void nothingIsClosedAtTheLimit() {
        budget.set(holder("a"), 999);
        budget.set(holder("b"), 1);
        assertThat(closed).isEmpty();
        assertThat(budget.totalBytes()).isEqualTo(MAX_BYTES);
    }

    @Test
    void connectionThatHoldsMostIsClosedNotTheOneThatExceedsTheLimit() {
        budget.set(holder("ordinary"), 10);
        budget.set(holder("large"), 600);
        budget.set(holder("medium"), 380);
        budget.set(holder("late ordinary"), 11);
        assertThat(closed).containsExactly("large");
        assertThat(reportedHeldBytes).containsExactly(1_001L);
        assertThat(budget.totalBytes()).isEqualTo(401);
    }

    @Test
    void connectionThatExceedsTheLimitByItselfIsClosed() {
        budget.set(holder("ordinary"), 500);
        budget.set(holder("huge"), 5_000);
        assertThat(closed).containsExactly("huge");
        assertThat(budget.totalBytes()).isEqualTo(500);
    }

    @Test
    void largestAreClosedInTurnUntilTheRestIsWithinTheLimit() {
        HeadBudget.Holder growing = holder("growing");
        budget.set(holder("a"), 300);
        budget.set(holder("b"), 350);
        budget.set(growing, 300);
        budget.set(growing, 900);
        budget.set(holder("c"), 800);
        assertThat(closed).containsExactly("growing", "c").inOrder();
        assertThat(budget.totalBytes()).isEqualTo(650);
    }

    @Test
    void ofEqualOnesTheOneIsClosedThatHasHeldHeadsForLongest() {
        HeadBudget.Holder first = holder("first");
        budget.set(first, 1);
        budget.set(holder("second"), 500);
        budget.set(first, 500);
        budget.set(holder("third"), 500);
        assertThat(closed).containsExactly("first");
    }

    /** A closed connection reports once more that it holds nothing. */
    @Test
    void closedConnectionIsNotSubtractedTwice() {
        HeadBudget.Holder large = holder("large");
        budget.set(holder("ordinary"), 100);
        budget.set(large, 2_000);
        budget.set(large, 0);
        assertThat(budget.totalBytes()).isEqualTo(100);
    }

    @Test
    void shortFieldsCountByTheirObjects() {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        int emptyBytes = HeadBudget.bytesOf(request);
        for (int i = 0; i < 100; i++) {
            request.headers().add("a", "");
        }
        assertThat(HeadBudget.bytesOf(request) - emptyBytes).isAtLeast(100 * 100);
    }
}
