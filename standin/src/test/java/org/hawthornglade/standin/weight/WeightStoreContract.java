package org.hawthornglade.standin.weight;

import static com.google.common.truth.Truth.assertThat;
import static org.hawthornglade.standin.Eventually.eventually;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.fault.FaultScript;
import org.hawthornglade.standin.fault.FaultScriptBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that every implementation of the weight store must pass. */
abstract class WeightStoreContract {
    private static final int FULL_SPEED_FETCHES = 4;
    private static final int FETCH_MB_PER_SECOND = 1_000;
    private static final FetchRequest TWO_GB = new FetchRequest("guide", "v1", 2_000);

    private final List<Either<Failure, FetchResult>> results = Collections.synchronizedList(new ArrayList<>());

    abstract WeightStore open(WeightStoreSettings settings);

    abstract InMemoryWeightStore standin();

    abstract FaultInjector faults();

    abstract void advance(long byMs);

    private static WeightStoreSettings settings(int loadsPerSecond) {
        return new WeightStoreSettings("it", 0, loadsPerSecond, FULL_SPEED_FETCHES, FETCH_MB_PER_SECOND, null);
    }

    private void fetch(WeightStore store, int times) {
        for (int i = 0; i < times; i++) {
            int running = i + 1;
            store.fetch(TWO_GB, results::add);
            eventually("the fetch begins", () -> standin().activeFetches() == running);
        }
    }

    private void assertEnded(int count) {
        eventually(count + " fetches end", () -> results.size() == count);
    }

    @ParameterizedTest
    @CsvSource({"1, 2000", "4, 2000", "8, 4000", "16, 8000"})
    void fetchesBeyondTheFullSpeedLimitShareTheBandwidth(int fetches, long tookMs) {
        WeightStore store = open(settings(100));
        fetch(store, fetches);

        advance(tookMs);
        assertEnded(fetches);
        results.forEach(result -> assertThat(result.get().tookMs()).isEqualTo(tookMs));
    }

    @Test
    void appliesASpeedChangeDuringAFetch() {
        WeightStore store = open(settings(100));
        fetch(store, 1);
        advance(1_000);
        faults().set(new FaultScriptBuilder().speedPercent(10).build());

        advance(9_900);
        assertThat(standin().activeFetches()).isEqualTo(1);
        advance(200);
        assertEnded(1);
        assertThat(results.get(0).get().tookMs()).isGreaterThan(10_900);
    }

    @Test
    void limitsTheRateOfNewFetches() {
        WeightStore store = open(settings(2));
        fetch(store, 2);
        store.fetch(TWO_GB, results::add);
        assertEnded(1);

        assertThat(results.get(0).getLeft().code()).isEqualTo(ResultCode.PLATFORM_RATE_LIMITED);
        assertThat(results.get(0).getLeft().retryAfterMs()).isEqualTo(500);
        assertThat(standin().activeFetches()).isEqualTo(2);
        advance(500);
        fetchOneMore(store);
    }

    private void fetchOneMore(WeightStore store) {
        store.fetch(TWO_GB, results::add);
        eventually("the fetch begins", () -> standin().activeFetches() == 3);
    }

    @Test
    void refusesFetchesWhileTheStoreIsDown() {
        WeightStore store = open(settings(100));
        faults().set(new FaultScriptBuilder().down().build());
        store.fetch(TWO_GB, results::add);
        assertEnded(1);

        assertThat(results.get(0).getLeft().code()).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
        assertThat(standin().activeFetches()).isEqualTo(0);
        faults().set(FaultScript.NONE);
        fetch(store, 1);
    }
}
