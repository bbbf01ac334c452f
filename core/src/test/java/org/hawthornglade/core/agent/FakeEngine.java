package org.hawthornglade.core.agent;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** An in-memory engine. Its state is what the invariants are checked on; its reports lag behind that state. */
final class FakeEngine {
    final InstanceId id;
    final int memoryMb;
    final boolean checksFencing;
    final Map<ModelName, HeldModel> held = new TreeMap<>();
    final List<String> violations = new ArrayList<>();
    /** Recent events, for the message of a failed check. */
    final Deque<String> trace = new ArrayDeque<>();

    boolean lostOrders;
    private final Deque<EngineReport> history = new ArrayDeque<>();
    private long sequence;
    private long bootId = 1;
    private long fence;

    /** One model in the engine. */
    static final class HeldModel {
        final EngineOrder order;
        LoadState state = LoadState.LOADING;
        long dueAtMs;
        boolean failsToLoad;

        HeldModel(EngineOrder order, long dueAtMs, boolean failsToLoad) {
            this.order = order;
            this.dueAtMs = dueAtMs;
            this.failsToLoad = failsToLoad;
        }
    }

    FakeEngine(InstanceId id, int memoryMb, boolean checksFencing) {
        this.id = id;
        this.memoryMb = memoryMb;
        this.checksFencing = checksFencing;
    }

    void trace(long nowMs, Object event) {
        trace.addLast(nowMs + " " + event);
        if (trace.size() > 120) {
            trace.removeFirst();
        }
    }

    Either<Failure, Long> order(EngineOrder order, long nowMs, long loadMs, boolean failsToLoad) {
        if (checksFencing && order.fencingNumber() < fence) {
            return refuse(ResultCode.STALE_FENCING_NUMBER);
        }
        fence = Math.max(fence, order.fencingNumber());
        if (order.kind() == EngineOrder.Kind.LOAD) {
            return load(order, nowMs, loadMs, failsToLoad);
        }
        if (order.kind() == EngineOrder.Kind.UNLOAD && held.containsKey(order.model())) {
            held.values().stream()
                    .filter(model -> order.model().equals(model.order.model())
                            || order.model().equals(model.order.base()))
                    .forEach(model -> beginUnload(model, nowMs));
        }
        return Either.right(++sequence);
    }

    private static void beginUnload(HeldModel model, long nowMs) {
        if (model.state != LoadState.UNLOADING) {
            model.state = LoadState.UNLOADING;
            model.dueAtMs = nowMs + 100;
        }
    }

    private Either<Failure, Long> load(EngineOrder order, long nowMs, long loadMs, boolean failsToLoad) {
        HeldModel present = held.get(order.model());
        if (present != null) {
            boolean loadingOrReady = present.state == LoadState.LOADING || present.state == LoadState.READY;
            if (loadingOrReady && !lostOrders) {
                violations.add("loaded twice: " + order);
            }
            boolean same = present.order.version().equals(order.version());
            return same && loadingOrReady ? Either.right(++sequence) : refuse(ResultCode.ENGINE_REFUSED);
        }
        if (usedMb() + order.memoryMb() > memoryMb) {
            violations.add("overcommitted by " + order + " beside " + held.keySet());
            return refuse(ResultCode.MEMORY_EXHAUSTED);
        }
        held.put(order.model(), new HeldModel(order, nowMs + loadMs, failsToLoad));
        return Either.right(++sequence);
    }

    long bootId() {
        return bootId;
    }

    int usedMb() {
        return held.values().stream().mapToInt(model -> model.order.memoryMb()).sum();
    }

    void step(long nowMs) {
        held.values().removeIf(model -> model.state == LoadState.UNLOADING && nowMs >= model.dueAtMs);
        for (HeldModel model : held.values()) {
            if (model.state == LoadState.LOADING && nowMs >= model.dueAtMs) {
                model.state = model.failsToLoad ? LoadState.HALF_PRESENT : LoadState.READY;
            }
        }
        history.addLast(
                new EngineReport(nowMs, sequence, bootId, checksFencing ? fence : 0, memoryMb, models(), List.of()));
        while (history.size() > 20) {
            history.removeFirst();
        }
    }

    private List<EngineModel> models() {
        return held.values().stream()
                .map(model -> new EngineModel(
                        model.order.model(),
                        model.order.version(),
                        model.order.base(),
                        model.state,
                        model.order.memoryMb(),
                        0))
                .toList();
    }

    /** Returns the report of some steps ago, which may be of the previous engine run. */
    EngineReport report(int stepsAgo) {
        List<EngineReport> reports = new ArrayList<>(history);
        return reports.get(Math.max(0, reports.size() - 1 - stepsAgo));
    }

    void restart() {
        trace(0, "engine restarts");
        bootId++;
        sequence = 0;
        fence = 0;
        held.values().removeIf(model -> model.state != LoadState.LOADING && model.state != LoadState.HALF_PRESENT);
        held.values().forEach(model -> model.state = LoadState.HALF_PRESENT);
    }

    private static Either<Failure, Long> refuse(ResultCode code) {
        return Either.left(Failure.of(code, "fake engine"));
    }
}
