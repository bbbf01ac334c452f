package org.hawthornglade.core.replica;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.InstanceVersion;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.EngineDefinition;
import org.hawthornglade.core.serving.ModelDefinition;

/**
 * What the leader knows of one engine: its models, and the one order that is under way.
 *
 * <p>Before the first order, and after an order without an answer, the engine's own report is needed: {@link
 * #needsReport}. An order without an answer does nothing once another order with the same expected number was taken.
 */
public final class EngineReplicaTracker {
    /** An adapter is taken to be ready this long after its order was accepted. */
    public static final long ADAPTER_LOAD_MS = 15;
    /** An order is answered, and a small one carried out, within about this time. */
    private static final long ORDER_ANSWER_MS = 60;
    /** How long after the expected end of an order its effect is looked up at the engine itself. */
    private static final long ORDER_CHECK_DELAY_MS = 150;
    /** A load that is late by more than this is taken to be lost. */
    private static final long LOAD_TIMEOUT_SLACK_MS = 1_500;

    private final ResidentModels models = new ResidentModels();
    private final LocalWeights localWeights = new LocalWeights();
    private final EngineReportState reportState = new EngineReportState();
    private InstanceRecord listed;
    private InstanceVersion version;
    private Optional<ReplicaOrder> openOrder = Optional.empty();
    private Optional<ModelName> pendingModel = Optional.empty();
    private Optional<RemoteLoad> remoteLoad = Optional.empty();

    /** Starts with the engine's record on the list. */
    public EngineReplicaTracker(InstanceRecord listed) {
        this.listed = listed;
        this.version = new InstanceVersion(listed.bornMs(), 0);
        models.add(listed.models(), 0);
        localWeights.update(listed.inMemory(), listed.onDisk());
    }

    public InstanceId id() {
        return listed.id();
    }

    public InstanceRecord listed() {
        return listed;
    }

    /** Takes a newer record from the list. */
    public void onListed(InstanceRecord record, long nowMs) {
        listed = record;
        if (record.bornMs() != version.bornMs()) {
            restart(record, nowMs);
            return;
        }
        localWeights.update(record.inMemory(), record.onDisk());
        if (!models.reconcile(record.models().keySet(), nowMs)) {
            reportState.onContradiction();
        }
    }

    private void restart(InstanceRecord record, long nowMs) {
        models.clear();
        localWeights.clear();
        remoteLoad = Optional.empty();
        openOrder = Optional.empty();
        pendingModel = Optional.empty();
        reportState.reset();
        version = new InstanceVersion(record.bornMs(), 0);
        models.add(record.models(), nowMs);
        localWeights.update(record.inMemory(), record.onDisk());
    }

    /** Takes note that the engine did not answer a report. */
    public void onReportFailed() {
        reportState.onReportFailed();
    }

    /** Takes note that an entry cannot reach the engine; the engine itself is asked next. */
    public void suspect(long nowMs) {
        reportState.suspect(nowMs);
    }

    /** Takes note that an engine has told an entry that it leaves; that holds for one start of it. */
    public void onLeavingAnnounced(long bornMs) {
        if (bornMs == version.bornMs()) {
            reportState.onLeavingAnnounced();
        }
    }

    /** Returns whether the engine is expected to run what is sent to it. */
    boolean usable() {
        return reportState.reachable() && !leaving();
    }

    /** Returns whether the engine leaves, by the list or by its own word. */
    boolean leaving() {
        return listed.leaving() || reportState.leaving();
    }

    /** Returns whether a model is here, or is coming within the time that was expected. */
    boolean offers(ModelName model, long nowMs) {
        Optional<ResidentModel> resident = models.get(model);
        if (resident.isEmpty() || !usable() || resident.get().status() == ReplicaStatus.UNLOADING) {
            return false;
        }
        if (isLoadingRemotely(model) && remoteLoad.get().timedOut(nowMs)) {
            return false;
        }
        return resident.get().ready() || nowMs <= resident.get().readyAtMs() + LOAD_TIMEOUT_SLACK_MS;
    }

    /** Takes the engine's own report. */
    public void onReport(EngineReport report, long nowMs) {
        reportState.onAnswered(nowMs);
        boolean otherStart = report.version().bornMs() != 0 && report.version().bornMs() != version.bornMs();
        boolean older = report.version().orderSequence() < version.orderSequence();
        if (otherStart || older) {
            return;
        }
        version = new InstanceVersion(version.bornMs(), report.version().orderSequence());
        reportState.onReport(report.busy());
        if (report.busy()) {
            models.add(report.models(), nowMs);
        } else {
            models.replace(report.models(), nowMs);
        }
        localWeights.update(report.inMemory(), report.onDisk());
    }

    /** Takes note that an order is sent. */
    public void onOrderSent(ReplicaOrder order, long nowMs) {
        openOrder = Optional.of(order);
        boolean removal =
                order.action() == OrderAction.UNLOAD && order.adapter().isEmpty();
        if (removal) {
            markUnloading(order.model(), nowMs);
        }
    }

    /** Counts on a model here no more: entries must send nothing for it, whatever becomes of the unload. */
    void markUnloading(ModelName model, long nowMs) {
        models.get(model).ifPresent(resident -> resident.setStatus(ReplicaStatus.UNLOADING, nowMs));
    }

    /**
     * Takes what the leader before told of this engine: the load that runs, which the engine itself does not name.
     *
     * <p>Of several loads that were told only the first can run; the others were planned.
     */
    public void adoptPlacement(InstancePlacement told) {
        if (told.bornMs() != version.bornMs()) {
            return;
        }
        told.models().entrySet().stream()
                .filter(entry -> entry.getValue().status() == ReplicaStatus.LOADING && !holds(entry.getKey()))
                .min(Comparator.comparingLong(entry -> entry.getValue().readyAtMs()))
                .ifPresent(entry -> adoptLoad(entry.getKey(), entry.getValue().readyAtMs()));
    }

    private void adoptLoad(ModelName model, long readyAtMs) {
        models.all().put(model, new ResidentModel(ReplicaStatus.LOADING, readyAtMs));
        if (!hasLocalWeights(model)) {
            remoteLoad = Optional.of(RemoteLoad.inherited(model, readyAtMs));
        }
    }

    /**
     * Takes the answer to the open order.
     *
     * @param time how long it takes if it is carried out
     */
    public void onOrderAnswered(ReplicaOrder order, OrderOutcome outcome, OrderDuration time, long nowMs) {
        if (openOrder.isEmpty() || !openOrder.get().equals(order)) {
            return;
        }
        openOrder = Optional.empty();
        switch (outcome) {
            case ACCEPTED -> onOrderAccepted(order, time, nowMs);
            case ALREADY_DONE, CONFLICT, REFUSED, UNKNOWN, FENCED_OFF, WRONG_INSTANCE -> reportState.onOrderEffectUnknown(nowMs);
        }
    }

    private void onOrderAccepted(ReplicaOrder order, OrderDuration time, long nowMs) {
        if (order.expected().equals(version)) {
            version = new InstanceVersion(version.bornMs(), version.orderSequence() + 1);
        }
        if (order.adapter().isPresent()) {
            onAdapterOrderAccepted(order, nowMs);
            return;
        }
        if (order.action() == OrderAction.LOAD) {
            if (!hasLocalWeights(order.model())) {
                remoteLoad = Optional.of(RemoteLoad.started(order.model(), time, nowMs));
            }
            models.all().put(order.model(), new ResidentModel(ReplicaStatus.LOADING, nowMs + time.expectedMs()));
            localWeights.onLoaded(order.model());
            if (pendingModel.equals(Optional.of(order.model()))) {
                pendingModel = Optional.empty();
            }
        }
        reportState.requestNotBefore(nowMs + time.nominalMs() + ORDER_CHECK_DELAY_MS);
    }

    private void onAdapterOrderAccepted(ReplicaOrder order, long nowMs) {
        Optional<ResidentModel> base = models.get(order.model());
        AdapterName adapter = order.adapter().orElseThrow();
        if (order.action() == OrderAction.LOAD) {
            base.ifPresent(resident -> resident.putAdapter(adapter, nowMs + ADAPTER_LOAD_MS));
        } else {
            base.ifPresent(resident -> resident.removeAdapter(adapter));
        }
    }

    /** Returns whether the engine itself should be asked now. */
    public boolean needsReport(long nowMs) {
        return openOrder.isEmpty() && reportState.mayRequestReport(nowMs) && (!reportState.known() || changing());
    }

    /** Takes note that a report was asked for or did not come. */
    public void onReportRequested(long nowMs) {
        reportState.onReportRequested(nowMs);
    }

    /** Returns whether a model is being loaded or unloaded. */
    public boolean changing() {
        return reportState.busy() || models.changing();
    }

    /** Returns whether a model order may be sent. */
    public boolean acceptsModelOrder() {
        return acceptsAdapterOrder() && !changing();
    }

    /** Returns whether an adapter order may be sent. */
    public boolean acceptsAdapterOrder() {
        return reportState.known() && openOrder.isEmpty() && usable();
    }

    /** Returns the model that was ordered but not yet accepted, or else the one for which room is being made. */
    Optional<ModelName> incomingModel() {
        return orderedModel().isPresent() ? orderedModel() : pendingModel;
    }

    private Optional<ModelName> orderedModel() {
        return openOrder.filter(order ->
                        order.action() == OrderAction.LOAD && order.adapter().isEmpty())
                .map(ReplicaOrder::model);
    }

    /** Returns the model for which room is being made. */
    public Optional<ModelName> pendingModel() {
        return pendingModel;
    }

    void pendingModel(Optional<ModelName> model) {
        pendingModel = model;
    }

    InstanceVersion version() {
        return version;
    }

    Map<ModelName, ResidentModel> models() {
        return models.all();
    }

    boolean holds(ModelName model) {
        return models.get(model).isPresent();
    }

    boolean isLoading(ModelName model) {
        return models.get(model)
                .filter(resident -> resident.status() == ReplicaStatus.LOADING)
                .isPresent();
    }

    boolean serves(ModelName model) {
        return usable() && models.get(model).filter(ResidentModel::ready).isPresent();
    }

    /** Returns whether every load here would come from the weight store. */
    boolean hasNoLocalWeights() {
        return localWeights.isEmpty();
    }

    /** Returns whether the engine has a copy of the weights at hand, so that no load from the store is needed. */
    boolean hasLocalWeights(ModelName model) {
        return localWeights.has(model);
    }

    /** Returns in how many milliseconds a model order can be sent, as far as can be foreseen; 0 if now. */
    long freeInMs(long nowMs) {
        if (acceptsModelOrder()) {
            return 0;
        }
        return Math.max(ORDER_ANSWER_MS, models.loadsEndAtMs() - nowMs);
    }

    /** Returns the load from the weight store that has ended here since asked, whether with success or not. */
    Optional<RemoteLoad> takeEndedRemoteLoad() {
        Optional<RemoteLoad> ended = remoteLoad.filter(load -> !isLoading(load.model()));
        if (ended.isPresent()) {
            remoteLoad = Optional.empty();
        }
        return ended;
    }

    /** Returns the load from the weight store that runs here, while the engine is trusted to carry it out. */
    Optional<RemoteLoad> remoteLoad() {
        return usable() ? remoteLoad : Optional.empty();
    }

    /** Takes over when the load from the weight store here is expected to end. */
    void updateRemoteLoadForecast() {
        remoteLoad.ifPresent(
                load -> models.get(load.model()).ifPresent(resident -> resident.readyAtMs(load.expectedAtMs())));
    }

    /** Returns whether a load from the weight store runs here, or has been ordered. */
    boolean hasRemoteLoad(long nowMs) {
        boolean runs = remoteLoad
                .filter(load -> isLoading(load.model()) && !load.timedOut(nowMs))
                .filter(load -> usable() || nowMs <= load.expectedAtMs())
                .isPresent();
        return runs || orderedModel().filter(model -> !hasLocalWeights(model)).isPresent();
    }

    /** Returns whether a model comes here from the weight store. */
    boolean isLoadingRemotely(ModelName model) {
        return isLoading(model)
                && remoteLoad.filter(load -> load.model().equals(model)).isPresent();
    }

    /** Returns when the load from the weight store here is expected to end; 0 if none runs. */
    long remoteLoadEndsAtMs() {
        return remoteLoad.map(RemoteLoad::expectedAtMs).orElse(0L);
    }

    /** Returns how long a load of a model takes here, by where its weights lie. */
    public long loadMs(ModelDefinition model) {
        return localWeights.loadMs(model);
    }

    double usedMb(EngineDefinition engine) {
        return models.usedMb(engine);
    }

    int adapterCount() {
        return models.adapterCount();
    }

    /**
     * Returns what entries are told of this engine.
     *
     * @param foretold the models that will be loaded here later, and when they will be ready
     */
    public InstancePlacement placement(Map<ModelName, Long> foretold, long nowMs) {
        Map<ModelName, ReplicaState> states = models.states(nowMs);
        foretold.forEach((model, readyAtMs) ->
                states.putIfAbsent(model, new ReplicaState(ReplicaStatus.LOADING, readyAtMs, Map.of())));
        return new InstancePlacement(listed.id(), version.bornMs(), states);
    }
}
