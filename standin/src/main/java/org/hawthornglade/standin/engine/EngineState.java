package org.hawthornglade.standin.engine;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.hawthornglade.core.engine.CheckpointTier;
import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.engine.OrderAcknowledgement;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.time.Timers;

/**
 * Manages the models that one engine holds, and applies orders to them.
 *
 * <p>Memory is reserved when a load is ordered and released when an unload has ended.
 */
public final class EngineState {
    private static final long ADAPTER_MS_PER_REQUEST_BEYOND_KNEE = 1;

    private final EngineSettings settings;
    private final FaultInjector faults;
    private final Timers timers;
    private final CheckpointLoader loader;
    private final ReplicaCounter replicaCounter;
    private final Map<ModelName, ResidentModel> models = new TreeMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private final ReportHistory history;
    private final CheckpointCache cache;
    private long orderSequence;
    private long fencingNumber;
    private long bootId;
    private Consumer<ModelName> requestAborter = model -> {};

    /** Creates an engine without models. */
    public EngineState(
            EngineSettings settings,
            FaultInjector faults,
            Timers timers,
            CheckpointLoader loader,
            ReplicaCounter replicaCounter) {
        this.settings = settings;
        this.faults = faults;
        this.timers = timers;
        this.loader = loader;
        this.replicaCounter = replicaCounter;
        this.history = new ReportHistory(settings.reportLagMs());
        this.cache = new CheckpointCache(settings.cached());
        this.bootId = timers.clock().nowMs();
        recordReport();
    }

    /** Sets the callback that aborts the running requests of a model that is being unloaded. */
    void setRequestAborter(Consumer<ModelName> aborter) {
        requestAborter = aborter;
    }

    /** Executes an order; see {@link org.hawthornglade.ports.engine.EngineControl#order}. */
    public synchronized Either<Failure, OrderAcknowledgement> order(EngineOrder order) {
        if (order.kind() == null || (order.kind() != EngineOrder.Kind.FENCE && order.model() == null)) {
            return refuse(ResultCode.ENGINE_REFUSED, "the order has no kind or no model");
        }
        if (order.fencingNumber() < fencingNumber) {
            recordViolation(
                    Violation.Kind.STALE_ORDER, order.model(), order.fencingNumber() + " below " + fencingNumber);
            if (settings.checksFencing()) {
                return refuse(ResultCode.STALE_FENCING_NUMBER, "a higher number was seen: " + fencingNumber);
            }
        }
        fencingNumber = Math.max(fencingNumber, order.fencingNumber());
        Either<Failure, OrderAcknowledgement> result =
                switch (order.kind()) {
                    case LOAD -> load(order);
                    case UNLOAD -> unload(order);
                    case FENCE -> accept();
                };
        recordReport();
        return result;
    }

    private Either<Failure, OrderAcknowledgement> load(EngineOrder order) {
        ResidentModel present = models.get(order.model());
        if (present != null) {
            boolean sameVersion = present.version.equals(order.version());
            boolean loadingOrReady = present.state == LoadState.LOADING || present.state == LoadState.READY;
            return sameVersion && loadingOrReady
                    ? accept()
                    : refuse(ResultCode.ENGINE_REFUSED, "held as " + present.state + ", version " + present.version);
        }
        if (order.version() == null || order.memoryMb() < 0) {
            return refuse(ResultCode.ENGINE_REFUSED, "the order has no version or a negative size");
        }
        if (order.base() != null && !isReady(order.base())) {
            return refuse(ResultCode.ENGINE_REFUSED, "the base model is not ready");
        }
        if (usedMb() + order.memoryMb() > settings.memoryMb()) {
            String detail = usedMb() + " MiB used, " + order.memoryMb() + " more asked of " + settings.memoryMb();
            recordViolation(Violation.Kind.OVERCOMMIT, order.model(), detail);
            return refuse(ResultCode.MEMORY_EXHAUSTED, detail);
        }
        begin(new ResidentModel(order));
        return accept();
    }

    private void begin(ResidentModel model) {
        models.put(model.name, model);
        replicaCounter.change(model.name, 1);
        boolean crashes = faults.nextLoadCrashes();
        if (model.base != null) {
            timers.after(adapterLoadMs(), () -> loadEnded(model, !crashes));
            return;
        }
        CheckpointTier tier = cache.tier(model.name, model.version);
        loader.load(model.name, model.version, model.memoryMb, tier, crashes, loaded -> loadEnded(model, loaded));
    }

    /** Returns the load time of an adapter; it grows with the number of running requests above the knee. */
    private long adapterLoadMs() {
        int running = models.values().stream().mapToInt(model -> model.running).sum();
        int aboveKnee = Math.max(0, running - settings.adapterKnee());
        return settings.adapterLoadMs() + aboveKnee * ADAPTER_MS_PER_REQUEST_BEYOND_KNEE;
    }

    private synchronized void loadEnded(ResidentModel model, boolean loaded) {
        if (models.get(model.name) != model || model.state != LoadState.LOADING) {
            return;
        }
        model.state = loaded ? LoadState.READY : LoadState.HALF_PRESENT;
        if (loaded && model.base == null) {
            cache.record(model.name, model.version, CheckpointTier.DISK);
        }
        recordReport();
    }

    private Either<Failure, OrderAcknowledgement> unload(EngineOrder order) {
        ResidentModel model = models.get(order.model());
        if (model == null || model.state == LoadState.UNLOADING) {
            return accept();
        }
        List<ResidentModel> unloading = new ArrayList<>(List.of(model));
        models.values().stream().filter(other -> model.name.equals(other.base)).forEach(unloading::add);
        unloading.forEach(this::beginUnload);
        timers.after(settings.unloadMs(), () -> unloadEnded(unloading));
        return accept();
    }

    private void beginUnload(ResidentModel model) {
        if (model.running > 0) {
            recordViolation(Violation.Kind.CUT_REQUESTS, model.name, model.running + " running");
            requestAborter.accept(model.name);
        }
        if (model.state == LoadState.READY && model.base == null) {
            cache.record(model.name, model.version, CheckpointTier.MEMORY);
        }
        model.state = LoadState.UNLOADING;
    }

    private synchronized void unloadEnded(List<ResidentModel> unloading) {
        unloading.forEach(this::remove);
        recordReport();
    }

    private void remove(ResidentModel model) {
        if (models.remove(model.name, model)) {
            replicaCounter.change(model.name, -1);
        }
    }

    /** Begins a new run: interrupted loads stay half present; all other models, requests and counters are dropped. */
    public synchronized void restart() {
        bootId++;
        orderSequence = 0;
        fencingNumber = 0;
        for (ResidentModel model : List.copyOf(models.values())) {
            requestAborter.accept(model.name);
            model.running = 0;
            if (model.state == LoadState.LOADING) {
                model.state = LoadState.HALF_PRESENT;
            }
            if (model.state != LoadState.HALF_PRESENT) {
                remove(model);
            }
        }
        recordReport();
    }

    /** Returns the report with the lag of the settings. */
    public synchronized EngineReport report() {
        return history.at(timers.clock().nowMs());
    }

    /** Returns the models that the engine currently holds, without the report lag. */
    public synchronized List<EngineModel> models() {
        return models.values().stream().map(ResidentModel::toReport).toList();
    }

    /** Returns the orders that the engine should never have received. */
    public synchronized List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number that identifies the current run of the engine. */
    public synchronized long bootId() {
        return bootId;
    }

    /** Records the start of a request for a model; false if the model is not ready. */
    synchronized boolean beginRequest(ModelName model) {
        if (!isReady(model)) {
            return false;
        }
        models.get(model).running++;
        recordReport();
        return true;
    }

    /** Records the end of a request for a model. */
    synchronized void endRequest(ModelName model) {
        ResidentModel present = models.get(model);
        if (present != null && present.running > 0) {
            present.running--;
            recordReport();
        }
    }

    private boolean isReady(ModelName model) {
        ResidentModel present = models.get(model);
        return present != null && present.state == LoadState.READY;
    }

    private int usedMb() {
        return models.values().stream().mapToInt(model -> model.memoryMb).sum();
    }

    private Either<Failure, OrderAcknowledgement> accept() {
        orderSequence++;
        return Either.right(new OrderAcknowledgement(orderSequence, bootId));
    }

    private static Either<Failure, OrderAcknowledgement> refuse(ResultCode code, String message) {
        return Either.left(Failure.of(code, message));
    }

    private void recordViolation(Violation.Kind kind, ModelName model, String detail) {
        violations.add(new Violation(timers.clock().nowMs(), kind, model, detail));
    }

    private void recordReport() {
        history.add(new EngineReport(
                timers.clock().nowMs(),
                orderSequence,
                bootId,
                settings.checksFencing() ? fencingNumber : 0,
                settings.memoryMb(),
                models(),
                cache.list()));
    }
}
