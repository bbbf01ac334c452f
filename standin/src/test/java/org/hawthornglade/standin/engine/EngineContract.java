package org.hawthornglade.standin.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.hawthornglade.core.engine.LoadState.HALF_PRESENT;
import static org.hawthornglade.core.engine.LoadState.LOADING;
import static org.hawthornglade.core.engine.LoadState.READY;
import static org.hawthornglade.core.engine.LoadState.UNLOADING;

import io.vavr.control.Either;
import java.util.List;
import java.util.stream.Stream;
import org.hawthornglade.core.engine.CachedCheckpoint;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.engine.EngineControl;
import org.hawthornglade.ports.engine.OrderAcknowledgement;
import org.hawthornglade.standin.fault.FaultCase;
import org.hawthornglade.standin.fault.FaultScript;
import org.hawthornglade.standin.fault.FaultScriptBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that every implementation of an engine's control interface must pass. */
abstract class EngineContract {
    static final int LONG_TIMEOUT_MS = 20_000;
    static final int MEMORY_MB = 10_000;
    static final int UNLOAD_MS = 100;
    static final ModelName GUIDE = ModelName.of("guide");
    static final ModelName QUICK = ModelName.of("quick");
    static final ModelName WOLOF = ModelName.of("guide/wolof");
    private static final int SIZE_MB = 4_000;
    private static final int REMOTE_LOAD_MS = 4_000;

    /** Opens an engine with the given settings, usually from {@link #settings}. */
    abstract EngineControl open(EngineSettings settings, int timeoutMs);

    abstract InMemoryEngine standin();

    abstract ReplicaCounter replicaCounter();

    /** Advances the engine's clock. */
    abstract void advance(long byMs);

    static EngineSettings settings(boolean checksFencing, int reportLagMs, FaultScript script) {
        List<CachedCheckpoint> cached = List.of(new CachedCheckpoint(QUICK, "v1", CheckpointTier.DISK));
        return new EngineSettings(
                "it",
                0,
                MEMORY_MB,
                checksFencing,
                null,
                0,
                0,
                0,
                UNLOAD_MS,
                0,
                0,
                reportLagMs,
                10,
                10,
                0,
                0,
                cached,
                script);
    }

    private EngineControl open() {
        return open(settings(true, 0, FaultScript.NONE), LONG_TIMEOUT_MS);
    }

    private static EngineOrder load(ModelName model, int memoryMb, long fencingNumber) {
        return new EngineOrder(EngineOrder.Kind.LOAD, model, "v1", null, memoryMb, fencingNumber);
    }

    private static EngineOrder adapter() {
        return new EngineOrder(EngineOrder.Kind.LOAD, WOLOF, "v1", GUIDE, 50, 1);
    }

    private static EngineOrder unload(ModelName model) {
        return new EngineOrder(EngineOrder.Kind.UNLOAD, model, null, null, 0, 1);
    }

    private static LoadState state(EngineControl engine, ModelName model) {
        return engine.report().get().models().stream()
                .filter(resident -> resident.model().equals(model))
                .map(EngineModel::state)
                .findFirst()
                .orElse(null);
    }

    @ParameterizedTest
    @MethodSource("org.hawthornglade.standin.fault.FaultCase#withoutDelay")
    void mapsFaultsToResultCodes(FaultCase fault) {
        EngineControl engine = open(settings(true, 0, fault.script()), fault.timeoutMs());

        assertThat(FaultCase.codeOf(engine.order(load(GUIDE, SIZE_MB, 1)))).isEqualTo(fault.change());
        assertThat(FaultCase.codeOf(engine.report())).isEqualTo(fault.read());
        assertThat(standin().state().models()).hasSize(fault.takesEffect() ? 1 : 0);
    }

    @ParameterizedTest
    @CsvSource({"guide, 4000", "quick, 1000"})
    void loadTimeDependsOnTheCheckpointTier(String model, long loadMs) {
        EngineControl engine = open();
        engine.order(load(ModelName.of(model), SIZE_MB, 1)).get();

        advance(loadMs - 1);
        assertThat(state(engine, ModelName.of(model))).isEqualTo(LOADING);
        advance(1);
        assertThat(state(engine, ModelName.of(model))).isEqualTo(READY);
    }

    @Test
    void keepsMemoryReservedUntilTheUnloadEnds() {
        EngineControl engine = open();
        engine.order(load(GUIDE, MEMORY_MB, 1)).get();
        advance(10 * REMOTE_LOAD_MS);
        engine.order(unload(GUIDE)).get();

        assertThat(state(engine, GUIDE)).isEqualTo(UNLOADING);
        assertThat(engine.order(load(QUICK, 1, 1)).getLeft().code()).isEqualTo(ResultCode.MEMORY_EXHAUSTED);
        advance(UNLOAD_MS);
        assertThat(state(engine, GUIDE)).isNull();
        assertThat(engine.order(load(QUICK, 1, 1)).isRight()).isTrue();
        assertThat(standin().state().violations()).hasSize(1);
    }

    @Test
    void countsAReplicaFromItsLoadOrderToTheEndOfItsUnload() {
        EngineControl engine = open();
        engine.order(load(GUIDE, SIZE_MB, 1)).get();
        assertThat(replicaCounter().counts().get(GUIDE).held()).isEqualTo(1);

        engine.order(unload(GUIDE)).get();
        assertThat(replicaCounter().counts().get(GUIDE).held()).isEqualTo(1);
        advance(REMOTE_LOAD_MS);
        assertThat(replicaCounter().counts().get(GUIDE)).isEqualTo(new ReplicaCounter.Count(0, 1));
        assertThat(state(engine, GUIDE)).isNull();
    }

    @Test
    void reportCarriesTheSequenceOfTheLastOrder() {
        EngineControl engine = open();
        OrderAcknowledgement first = engine.order(load(GUIDE, SIZE_MB, 1)).get();
        OrderAcknowledgement second = engine.order(unload(GUIDE)).get();

        assertThat(second.orderSequence()).isGreaterThan(first.orderSequence());
        assertThat(engine.report().get().orderSequence()).isEqualTo(second.orderSequence());
    }

    @Test
    void reportShowsTheStateBeforeTheLag() {
        EngineControl engine = open(settings(true, 500, FaultScript.NONE), LONG_TIMEOUT_MS);
        advance(1_000);
        OrderAcknowledgement acknowledgement =
                engine.order(load(GUIDE, SIZE_MB, 1)).get();

        advance(499);
        EngineReport beforeLag = engine.report().get();
        assertThat(beforeLag.orderSequence()).isLessThan(acknowledgement.orderSequence());
        assertThat(beforeLag.models()).isEmpty();
        advance(1);
        EngineReport afterLag = engine.report().get();
        assertThat(afterLag.orderSequence()).isEqualTo(acknowledgement.orderSequence());
        assertThat(afterLag.takenAtMs() - beforeLag.takenAtMs()).isEqualTo(1);
    }

    @Test
    void crashedLoadStaysHalfPresentUntilItIsUnloaded() {
        EngineControl engine = open(
                settings(true, 0, new FaultScriptBuilder().crashLoadEvery(1).build()), LONG_TIMEOUT_MS);
        engine.order(load(GUIDE, SIZE_MB, 1)).get();
        advance(REMOTE_LOAD_MS / 2);

        assertThat(state(engine, GUIDE)).isEqualTo(HALF_PRESENT);
        assertThat(engine.order(load(GUIDE, SIZE_MB, 1)).getLeft().code()).isEqualTo(ResultCode.ENGINE_REFUSED);
        assertThat(engine.order(load(QUICK, MEMORY_MB, 1)).getLeft().code()).isEqualTo(ResultCode.MEMORY_EXHAUSTED);
        engine.order(unload(GUIDE)).get();
        advance(UNLOAD_MS);
        assertThat(state(engine, GUIDE)).isNull();
    }

    static Stream<Arguments> fencing() {
        return Stream.of(
                Arguments.of(true, 7L, 8L, true),
                Arguments.of(true, 7L, 7L, true),
                Arguments.of(true, 7L, 6L, false),
                Arguments.of(false, 7L, 6L, true));
    }

    @ParameterizedTest
    @MethodSource("fencing")
    void refusesAStaleFencingNumberIfCheckingIsOn(boolean checksFencing, long seen, long next, boolean accepted) {
        EngineControl engine = open(settings(checksFencing, 0, FaultScript.NONE), LONG_TIMEOUT_MS);
        engine.order(new EngineOrder(EngineOrder.Kind.FENCE, null, null, null, 0, seen))
                .get();

        Either<Failure, OrderAcknowledgement> result = engine.order(load(GUIDE, SIZE_MB, next));

        assertThat(result.isRight()).isEqualTo(accepted);
        if (!accepted) {
            assertThat(result.getLeft().code()).isEqualTo(ResultCode.STALE_FENCING_NUMBER);
        }
        assertThat(engine.report().get().fencingNumber()).isEqualTo(checksFencing ? Math.max(seen, next) : 0);
        assertThat(standin().state().models()).hasSize(accepted ? 1 : 0);
        assertThat(standin().state().violations()).hasSize(next < seen ? 1 : 0);
    }

    @Test
    void anAdapterRequiresItsBaseAndIsUnloadedWithIt() {
        EngineControl engine = open();
        assertThat(engine.order(adapter()).getLeft().code()).isEqualTo(ResultCode.ENGINE_REFUSED);
        engine.order(load(GUIDE, SIZE_MB, 1)).get();
        advance(REMOTE_LOAD_MS);
        engine.order(adapter()).get();
        advance(8);
        assertThat(state(engine, WOLOF)).isEqualTo(READY);

        engine.order(unload(GUIDE)).get();
        advance(UNLOAD_MS);
        assertThat(engine.report().get().models()).isEmpty();
    }

    @Test
    void repeatedOrdersChangeNothing() {
        EngineControl engine = open();
        engine.order(load(GUIDE, SIZE_MB, 1)).get();
        engine.order(load(GUIDE, SIZE_MB, 1)).get();
        advance(REMOTE_LOAD_MS);
        engine.order(load(GUIDE, SIZE_MB, 1)).get();

        assertThat(engine.report().get().models())
                .containsExactly(new EngineModel(GUIDE, "v1", null, READY, SIZE_MB, 0));
        assertThat(engine.order(unload(QUICK)).isRight()).isTrue();
        assertThat(standin().state().violations()).isEmpty();
    }

    @Test
    void aRestartKeepsOnlyHalfPresentModels() {
        EngineControl engine = open();
        engine.order(load(GUIDE, SIZE_MB, 1)).get();
        advance(REMOTE_LOAD_MS);
        engine.order(load(ModelName.of("slow"), SIZE_MB, 1)).get();
        long bootId = engine.report().get().bootId();

        standin().restart();
        advance(REMOTE_LOAD_MS);

        EngineReport report = engine.report().get();
        assertThat(report.bootId()).isNotEqualTo(bootId);
        assertThat(report.orderSequence()).isEqualTo(0);
        assertThat(report.models()).hasSize(1);
        assertThat(report.models().get(0).state()).isEqualTo(HALF_PRESENT);
    }

    @Test
    void cancelReportsWhetherTheRequestIsKnown() {
        EngineControl engine = open();
        engine.order(load(GUIDE, SIZE_MB, 1)).get();
        advance(REMOTE_LOAD_MS);
        InferenceRequest request = new InferenceRequest(GUIDE, "hello", 5, true, true);
        Generation generation =
                standin().inference().start("attempt/1", request).get();

        assertThat(engine.cancel("attempt/2").get()).isFalse();
        assertThat(engine.cancel("attempt/1").get()).isTrue();
        assertThat(generation.ended()).isTrue();
        assertThat(engine.report().get().models().get(0).running()).isEqualTo(0);
    }

    @Test
    void unloadingAModelInUseAbortsItsRequestAndRecordsAViolation() {
        EngineControl engine = open();
        engine.order(load(GUIDE, SIZE_MB, 1)).get();
        advance(REMOTE_LOAD_MS);
        InferenceRequest request = new InferenceRequest(GUIDE, "hello", 5, true, true);
        Generation generation = standin().inference().start("a", request).get();
        engine.order(unload(GUIDE)).get();

        assertThat(generation.ended()).isTrue();
        assertThat(standin().state().violations().stream().map(Violation::kind))
                .containsExactly(Violation.Kind.CUT_REQUESTS);
    }
}
