package org.hawthornglade.core.replica;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
 * Tracks the models of one engine and its open order, as the placement leader knows them.
 *
 * <p>Before the first order, and after an order without an answer, a report from the engine is needed: {@link
 * #needsReport}. An unanswered order has no effect once the engine has accepted another order with the same expected
 * sequence number.
 */
public final class EngineReplicaTracker {
    /** An adapter is assumed to be ready this long after its order was accepted. */
    public static final long ADAPTER_LOAD_MS = 15;
    /** The approximate time within which an order is answered, and a small one carried out. */
    private static final long ORDER_ANSWER_MS = 60;
    /** How long after the expected end of an order its effect is checked by a report from the engine. */
    private static final long ORDER_CHECK_DELAY_MS = 150;
    /** A load that is overdue by more than this counts as timed out. */
    private static final long LOAD_TIMEOUT_SLACK_MS = 1_500;

    private final ResidentModels models = new ResidentModels();
    private final LocalWeights localWeights = new LocalWeights();
    private final EngineReportState reportState = new EngineReportState();
    private InstanceRecord listed;
    private InstanceVersion version;
    private Optional<ReplicaOrder> openOrder = Optional.empty();
    private Optional<ModelName> pendingModel = Optional.empty();
    private Optional<RemoteLoad> remoteLoad = Optional.empty();

    /** Creates a tracker from the engine's record in the instance list. */
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

    /** Updates the tracker from a newer record of the instance list. */
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

    /** Records that a report request to the engine failed. */
    public void onReportFailed() {
        reportState.onReportFailed();
    }

    /** Records that an entry cannot reach the engine; a report from the engine is requested next. */
    public void suspect(long nowMs) {
        reportState.suspect(nowMs);
    }

    /**
     * Records that the engine has announced to an entry that it is leaving.
     *
     * @param bornMs the start of the engine that the announcement holds for
     */
    public void onLeavingAnnounced(long bornMs) {
        if (bornMs == version.bornMs()) {
            reportState.onLeavingAnnounced();
        }
    }

    /** Returns whether the engine is expected to run the calls and orders that are sent to it. */
    boolean usable() {
        return reportState.reachable() && !leaving();
    }

    /** Returns whether the engine is leaving, according to the instance list or its own announcement. */
    boolean leaving() {
        return listed.leaving() || reportState.leaving();
    }

    /** Returns whether a model is ready here, or is loading and not timed out. */
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

    /** Updates the tracker from a report of the engine. */
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

    /** Records that an order is being sent. */
    public void onOrderSent(ReplicaOrder order, long nowMs) {
        openOrder = Optional.of(order);
        boolean unload = order.action() == OrderAction.UNLOAD && order.adapter().isEmpty();
        if (unload) {
            markUnloading(order.model(), nowMs);
        }
    }

    /** Marks a model as unloading: entries must send no calls for it, whether the unload succeeds or not. */
    void markUnloading(ModelName model, long nowMs) {
        models.get(model).ifPresent(resident -> resident.setStatus(ReplicaStatus.UNLOADING, nowMs));
    }

    /**
     * Adopts the load that the previous leader published for this engine, since the engine's report does not name it.
     *
     * <p>Of several published loads only the first can be running; the others were planned.
     */
    public void adoptPlacement(InstancePlacement published) {
        if (published.bornMs() != version.bornMs()) {
            return;
        }
        published.models().entrySet().stream()
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
     * Records the answer to the open order.
     *
     * @param duration how long the order takes if it is carried out
     */
    public void onOrderAnswered(ReplicaOrder order, OrderOutcome outcome, OrderDuration duration, long nowMs) {
        if (openOrder.isEmpty() || !openOrder.get().equals(order)) {
            return;
        }
        openOrder = Optional.empty();
        switch (outcome) {
            case ACCEPTED -> onOrderAccepted(order, duration, nowMs);
            case ALREADY_DONE, CONFLICT, REFUSED, UNKNOWN, FENCED_OFF, WRONG_INSTANCE ->
                reportState.onOrderEffectUnknown(nowMs);
        }
    }

    private void onOrderAccepted(ReplicaOrder order, OrderDuration duration, long nowMs) {
        if (order.expected().equals(version)) {
            version = new InstanceVersion(version.bornMs(), version.orderSequence() + 1);
        }
        if (order.adapter().isPresent()) {
            onAdapterOrderAccepted(order, nowMs);
            return;
        }
        if (order.action() == OrderAction.LOAD) {
            if (!hasLocalWeights(order.model())) {
                remoteLoad = Optional.of(RemoteLoad.started(order.model(), duration, nowMs));
            }
            models.all().put(order.model(), new ResidentModel(ReplicaStatus.LOADING, nowMs + duration.expectedMs()));
            localWeights.onLoaded(order.model());
            if (pendingModel.equals(Optional.of(order.model()))) {
                pendingModel = Optional.empty();
            }
        }
        reportState.requestNotBefore(nowMs + duration.nominalMs() + ORDER_CHECK_DELAY_MS);
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

    /** Returns whether a report should be requested from the engine now. */
    public boolean needsReport(long nowMs) {
        return openOrder.isEmpty() && reportState.mayRequestReport(nowMs) && (!reportState.known() || changing());
    }

    /** Records that a report was requested, or that it did not arrive. */
    public void onReportRequested(long nowMs) {
        reportState.onReportRequested(nowMs);
    }

    /** Returns whether a model is being loaded or unloaded. */
    public boolean changing() {
        return reportState.busy() || models.changing();
    }

    /** Returns whether an order to load or unload a model may be sent. */
    public boolean acceptsModelOrder() {
        return acceptsAdapterOrder() && !changing();
    }

    /** Returns whether an order to load or unload an adapter may be sent. */
    public boolean acceptsAdapterOrder() {
        return reportState.known() && openOrder.isEmpty() && usable();
    }

    /** Returns the model whose load was ordered but not yet accepted, or else the one that evictions make room for. */
    Optional<ModelName> incomingModel() {
        return orderedModel().isPresent() ? orderedModel() : pendingModel;
    }

    private Optional<ModelName> orderedModel() {
        return openOrder
                .filter(order ->
                        order.action() == OrderAction.LOAD && order.adapter().isEmpty())
                .map(ReplicaOrder::model);
    }

    /** Returns the model that evictions make room for. */
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

    /** Returns whether the host caches no weights, so that every load here would come from the weight store. */
    boolean hasNoLocalWeights() {
        return localWeights.isEmpty();
    }

    /** Returns whether the engine has reported cached weights since its start. */
    boolean reportsLocalWeights() {
        return localWeights.reported();
    }

    /** Returns the models whose weights the host caches. */
    Set<ModelName> localModels() {
        return localWeights.models();
    }

    /** Returns whether the host caches the weights of a model, so that no load from the weight store is needed. */
    boolean hasLocalWeights(ModelName model) {
        return localWeights.has(model);
    }

    /** Returns in how many milliseconds a model order can be sent, as far as is known; 0 if now. */
    long freeInMs(long nowMs) {
        if (acceptsModelOrder()) {
            return 0;
        }
        return Math.max(ORDER_ANSWER_MS, models.loadsEndAtMs() - nowMs);
    }

    /** Returns and clears the load from the weight store that has ended here, whether it succeeded or not. */
    Optional<RemoteLoad> takeEndedRemoteLoad() {
        Optional<RemoteLoad> ended = remoteLoad.filter(load -> !isLoading(load.model()));
        if (ended.isPresent()) {
            remoteLoad = Optional.empty();
        }
        return ended;
    }

    /** Returns the load from the weight store that runs here; empty if the engine is not usable. */
    Optional<RemoteLoad> remoteLoad() {
        return usable() ? remoteLoad : Optional.empty();
    }

    /** Updates when the model that is loaded from the weight store here is expected to be ready. */
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

    /** Returns whether a model is being loaded here from the weight store. */
    boolean isLoadingRemotely(ModelName model) {
        return isLoading(model)
                && remoteLoad.filter(load -> load.model().equals(model)).isPresent();
    }

    /** Returns when the load from the weight store here is expected to end; 0 if none runs. */
    long remoteLoadEndsAtMs() {
        return remoteLoad.map(RemoteLoad::expectedAtMs).orElse(0L);
    }

    /** Returns how long a load of a model takes here in milliseconds, by where its weights are. */
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
     * Returns the placement of this engine that is published to the entries.
     *
     * @param forecast the models that will be loaded here later, and when they will be ready
     */
    public InstancePlacement placement(Map<ModelName, Long> forecast, long nowMs) {
        Map<ModelName, ReplicaState> states = models.states(nowMs);
        forecast.forEach((model, readyAtMs) ->
                states.putIfAbsent(model, new ReplicaState(ReplicaStatus.LOADING, readyAtMs, Map.of())));
        return new InstancePlacement(listed.id(), version.bornMs(), states);
    }
}
