package org.hawthornglade.core.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.hawthornglade.core.id.FailureDomain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** More models than places, on engines that report their copies: which model is fetched from the weight store next. */
class DiskCopyPlannerTest {
    private static final FailureDomain OTHER_DOMAIN = FailureDomain.of("zone-b");
    private static final long PATIENT_MS = 2 * ReplicaFixture.REMOTE_MS;
    private static final long URGENT_MS = 400;

    private static ReplicaFixture models(int count) {
        return withTwoAtFullSpeed(new ReplicaFixture(count, 11));
    }

    private static ReplicaFixture withTwoAtFullSpeed(ReplicaFixture fixture) {
        fixture.pacer.adopt(new LoadLimits(2, 2), fixture.nowMs);
        return fixture;
    }

    /** One model that no engine can hold kept all others off the disks. */
    @Test
    void aModelWithoutATargetEngineDoesNotEndTheRound() {
        List<Double> sizesMb = new ArrayList<>(Collections.nCopies(6, ReplicaFixture.MODEL_MB));
        sizesMb.set(0, 150_000.0);
        ReplicaFixture fixture = withTwoAtFullSpeed(new ReplicaFixture(11, sizesMb))
                .engine("a", List.of("m1", "m2"), List.of("m1", "m2"))
                .engine("b", List.of("m3"), List.of("m3", "m5"));
        fixture.arrived("m0", 20, URGENT_MS);
        fixture.arrived("m4", 5, URGENT_MS);
        assertThat(fixture.plan()).containsExactly("b LOAD m4");
    }

    /** A fetch of many seconds went to callers who can wait for it, before others who can't. */
    @ParameterizedTest
    @CsvSource({"20, 5, m4", "20, 0, m3"})
    void modelsOnNoDiskAreFetchedByWhatTheirCallersLose(int patientCalls, int urgentCalls, String fetched) {
        ReplicaFixture fixture = models(5)
                .engine("a", List.of("m0", "m1"), List.of("m0", "m1"))
                .engine("b", List.of("m2"), List.of("m2"));
        fixture.arrived("m3", patientCalls, PATIENT_MS);
        fixture.arrived("m4", urgentCalls, URGENT_MS);
        assertThat(fixture.plan()).containsExactly("b LOAD " + fetched);
    }

    /** A model on one disk only is lost for the time of a load from the store when that engine is. */
    @ParameterizedTest
    @CsvSource({"400, true", "12000, false"})
    void aModelOnOneDiskIsCopiedToAnotherDomainIfItsCallersCannotWait(long targetMs, boolean copied) {
        ReplicaFixture fixture = models(7)
                .engine("a", List.of("m0", "m1"), List.of("m0", "m1", "m4"))
                .engine("b", List.of("m2"), List.of("m2", "m5"))
                .engine("c", OTHER_DOMAIN, List.of("m3"), List.of("m3", "m6"));
        fixture.arrived("m4", 10, targetMs);
        assertThat(fixture.plan()).containsExactlyElementsIn(copied ? List.of("c LOAD m4") : List.of());
    }

    /** Without another failure domain the copy goes to another engine of the same one. */
    @Test
    void aSecondCopyGoesToAnotherEngineIfThereIsOneDomainOnly() {
        ReplicaFixture fixture = models(6)
                .engine("a", List.of("m0", "m1"), List.of("m0", "m1", "m4"))
                .engine("b", List.of("m2"), List.of("m2", "m3", "m5"));
        fixture.arrived("m4", 10, URGENT_MS);
        assertThat(fixture.plan()).containsExactly("b LOAD m4");
    }

    @Test
    void aSecondCopyWaitsUntilNoModelIsOnNoDisk() {
        ReplicaFixture fixture = models(6)
                .engine("a", List.of("m0", "m1"), List.of("m0", "m1", "m4"))
                .engine("b", List.of("m2"), List.of("m2", "m3"))
                .engine("c", List.of(), List.of("m2"));
        fixture.pacer.adopt(new LoadLimits(8, 8), fixture.nowMs);
        fixture.arrived("m4", 10, URGENT_MS);
        List<String> orders = fixture.plan();
        assertThat(orders).hasSize(1);
        assertThat(orders.get(0)).endsWith("LOAD m5");
    }

    /** A second copy must not take the place of a model that calls need. */
    @ParameterizedTest
    @CsvSource({"5, 5, false, ''", "5, 0, false, b UNLOAD m3", "0, 5, false, b UNLOAD m2", "0, 0, true, b UNLOAD m3"})
    void noModelInUseIsEvictedForASecondCopy(int callsForM2, int callsForM3, boolean m2Runs, String expected) {
        ReplicaFixture fixture = models(5)
                .engine("a", List.of("m0", "m1"), List.of("m0", "m1", "m4"))
                .engine("b", List.of("m2", "m3"), List.of("m2", "m3"));
        fixture.arrived("m0", 5, URGENT_MS);
        fixture.arrived("m1", 5, URGENT_MS);
        fixture.arrived("m2", callsForM2, URGENT_MS);
        fixture.arrived("m3", callsForM3, URGENT_MS);
        fixture.arrived("m4", 1, URGENT_MS);
        if (m2Runs) {
            fixture.running("b", "m2");
        }
        assertThat(fixture.plan()).containsExactlyElementsIn(expected.isEmpty() ? List.of() : List.of(expected));
    }

    /** Calls begin for the model in whose place the copy was to go, while the eviction before it runs. */
    @Test
    void aFetchIsGivenUpWhenCallsWaitForAnotherModelFromTheStore() {
        ReplicaFixture fixture = models(6)
                .engine("a", List.of("m0", "m1"), List.of("m0", "m1", "m4"))
                .engine("b", List.of("m2", "m3"), List.of("m2", "m3", "m5"));
        fixture.arrived("m0", 5, URGENT_MS);
        fixture.arrived("m1", 5, URGENT_MS);
        fixture.arrived("m4", 1, URGENT_MS);
        assertThat(fixture.plan()).containsExactly("b UNLOAD m2");
        fixture.answer(OrderOutcome.ACCEPTED);
        fixture.settle(60);
        fixture.waiting(600, "m5");
        assertThat(fixture.plan()).containsExactly("b LOAD m5");
    }

    /**
     * A load that calls wait for is to start soon on an engine that is busy now; a fetch for later calls took its share
     * of the store.
     */
    @Test
    void noFetchStartsBeforeALoadThatCallsWaitFor() {
        ReplicaFixture fixture = models(7).engine("a", List.of(), List.of("m0", "m1", "m2", "m3", "m4"));
        fixture.waiting(2_000, "m0");
        assertThat(fixture.plan()).containsExactly("a LOAD m0");
        fixture.answer(OrderOutcome.ACCEPTED);
        fixture.engine("b", List.of("m2", "m3"), List.of("m2", "m3"));
        fixture.arrived("m2", 20, PATIENT_MS);
        fixture.arrived("m3", 20, PATIENT_MS);
        fixture.arrived("m6", 30, PATIENT_MS / 3);
        fixture.waiting(2_000, "m5");
        assertThat(fixture.plan()).isEmpty();
    }

    /**
     * Where the store serves one load at full speed, a fetch of a model that nobody calls delays the load of one that
     * is called and that finds no engine yet: m4 needs the whole engine of m2, which is in use.
     */
    @ParameterizedTest
    @CsvSource({"10, ''", "0, b LOAD m3"})
    void theOnlyLoadAtFullSpeedIsNotUsedForAModelWithoutCalls(int callsForTheLarge, String expected) {
        List<Double> sizesMb = new ArrayList<>(Collections.nCopies(5, ReplicaFixture.MODEL_MB));
        sizesMb.set(4, 140_000.0);
        ReplicaFixture fixture = new ReplicaFixture(11, sizesMb)
                .engine("a", List.of("m0", "m1"), List.of("m0", "m1"))
                .engine("b", List.of("m2"), List.of("m2"));
        fixture.pacer.adopt(new LoadLimits(1, 1), fixture.nowMs);
        List.of("m0", "m1", "m2").forEach(model -> fixture.arrived(model, 10, URGENT_MS));
        fixture.arrived("m4", callsForTheLarge, URGENT_MS);
        assertThat(fixture.plan()).containsExactlyElementsIn(expected.isEmpty() ? List.of() : List.of(expected));
    }

    /** A second copy of 10 s makes each call for a model that an engine has lost meanwhile wait for the only load. */
    @ParameterizedTest
    @CsvSource({"1, 1, ''", "1, 2, ''", "2, 2, b LOAD m4"})
    void theOnlyLoadAtFullSpeedIsNotUsedForSecondCopies(int proven, int max, String expected) {
        ReplicaFixture fixture = new ReplicaFixture(6, 11)
                .engine("a", List.of("m0", "m1"), List.of("m0", "m1", "m4"))
                .engine("b", List.of("m2"), List.of("m2", "m3", "m5"));
        fixture.pacer.adopt(new LoadLimits(proven, max), fixture.nowMs);
        fixture.arrived("m4", 10, URGENT_MS);
        assertThat(fixture.plan()).containsExactlyElementsIn(expected.isEmpty() ? List.of() : List.of(expected));
    }

    /** The last copies are lost with a leaving engine: what callers miss most is fetched first. */
    @Test
    void lastCopiesOnALeavingEngineAreFetchedByWhatTheirCallersLose() {
        ReplicaFixture fixture = models(4)
                .engine("a", List.of("m0", "m1"), List.of("m0", "m1", "m3"))
                .engine("b", List.of("m2"), List.of("m2", "m3"));
        fixture.arrived("m0", 20, PATIENT_MS);
        fixture.arrived("m1", 5, URGENT_MS);
        fixture.markLeaving("a");
        assertThat(fixture.plan()).containsExactly("b LOAD m1");
    }

    /** Of two copies, the one on an engine that has announced that it is leaving no longer counts. */
    @Test
    void aCopyOnALeavingEngineIsNoSecondCopy() {
        ReplicaFixture fixture = models(7)
                .engine("a", List.of(), List.of("m0", "m4"))
                .engine("b", List.of("m0", "m1"), List.of("m0", "m1", "m4"))
                .engine("c", OTHER_DOMAIN, List.of("m2"), List.of("m2", "m3", "m5", "m6"));
        fixture.arrived("m4", 10, URGENT_MS);
        assertThat(fixture.plan()).isEmpty();
        fixture.trackers.get(0).onLeavingAnnounced(1);
        assertThat(fixture.plan()).containsExactly("c LOAD m4");
    }

    /** An engine that restarts keeps its disk, so that a lost connection calls for no fetch of 10 s. */
    @Test
    void aCopyOnAnUnreachableEngineStillCounts() {
        ReplicaFixture fixture = models(5)
                .engine("a", List.of("m0"), List.of("m0", "m1"))
                .engine("b", List.of("m2"), List.of("m2", "m3", "m4"));
        fixture.trackers.get(0).onReportFailed();
        fixture.arrived("m1", 1, PATIENT_MS);
        assertThat(fixture.plan()).isEmpty();
    }
}
