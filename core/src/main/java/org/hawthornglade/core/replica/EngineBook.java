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
public final class EngineBook {
    /** An adapter is taken to be ready this long after its order was accepted. */
    public static final long ADAPTER_LOAD_MS = 15;
    /** An order is answered, and a small one carried out, within about this time. */
    private static final long ANSWER_MS = 60;
    /** How long after the expected end of an order its effect is looked up at the engine itself. */
    private static final long OVERDUE_MS = 150;
    /** A load that is late by more than this is taken to be lost. */
    private static final long LOST_LOAD_MS = 1_500;

    private final ResidentModels models = new ResidentModels();
    private final WeightCopies copies = new WeightCopies();
    private final EngineContact contact = new EngineContact();
    private InstanceRecord listed;
    private InstanceVersion version;
    private Optional<ReplicaOrder> open = Optional.empty();
    private Optional<ModelName> goal = Optional.empty();
    private Optional<RemoteLoad> remoteLoad = Optional.empty();

    /** Starts with the engine's record on the list. */
    public EngineBook(InstanceRecord listed) {
        this.listed = listed;
        this.version = new InstanceVersion(listed.bornMs(), 0);
        models.add(listed.models(), 0);
        copies.take(listed.inMemory(), listed.onDisk());
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
        copies.take(record.inMemory(), record.onDisk());
        if (!models.reconcile(record.models().keySet(), nowMs)) {
            contact.contradicted();
        }
    }

    private void restart(InstanceRecord record, long nowMs) {
        models.clear();
        copies.clear();
        remoteLoad = Optional.empty();
        open = Optional.empty();
        goal = Optional.empty();
        contact.restart();
        version = new InstanceVersion(record.bornMs(), 0);
        models.add(record.models(), nowMs);
        copies.take(record.inMemory(), record.onDisk());
    }

    /** Takes note that the engine did not answer a report. */
    public void onReportFailed() {
        contact.failed();
    }

    /** Takes note that an entry cannot reach the engine; the engine itself is asked next. */
    public void doubt(long nowMs) {
        contact.doubt(nowMs);
    }

    /** Takes note that an engine has told an entry that it leaves; that holds for one start of it. */
    public void onSaidToLeave(long bornMs) {
        if (bornMs == version.bornMs()) {
            contact.saidToLeave();
        }
    }

    /** Returns whether the engine is expected to run what is sent to it. */
    boolean trusted() {
        return contact.reachable() && !leaving();
    }

    /** Returns whether the engine leaves, by the list or by its own word. */
    boolean leaving() {
        return listed.leaving() || contact.leaves();
    }

    /** Returns whether a model is here, or is coming within the time that was expected. */
    boolean offers(ModelName model, long nowMs) {
        Optional<Resident> resident = models.get(model);
        if (resident.isEmpty() || !trusted() || resident.get().status() == ReplicaStatus.UNLOADING) {
            return false;
        }
        if (loadsRemotely(model) && remoteLoad.get().lost(nowMs)) {
            return false;
        }
        return resident.get().ready() || nowMs <= resident.get().readyAtMs() + LOST_LOAD_MS;
    }

    /** Takes the engine's own report. */
    public void onReport(EngineReport report, long nowMs) {
        contact.answered(nowMs);
        boolean otherStart = report.version().bornMs() != 0 && report.version().bornMs() != version.bornMs();
        boolean older = report.version().orderSequence() < version.orderSequence();
        if (otherStart || older) {
            return;
        }
        version = new InstanceVersion(version.bornMs(), report.version().orderSequence());
        contact.reported(report.busy());
        if (report.busy()) {
            models.add(report.models(), nowMs);
        } else {
            models.replace(report.models(), nowMs);
        }
        copies.take(report.inMemory(), report.onDisk());
    }

    /** Takes note that an order is sent. */
    public void onSent(ReplicaOrder order, long nowMs) {
        open = Optional.of(order);
        boolean removal =
                order.action() == OrderAction.UNLOAD && order.adapter().isEmpty();
        if (removal) {
            giveUp(order.model(), nowMs);
        }
    }

    /** Counts on a model here no more: entries must send nothing for it, whatever becomes of the unload. */
    void giveUp(ModelName model, long nowMs) {
        models.get(model).ifPresent(resident -> resident.becomes(ReplicaStatus.UNLOADING, nowMs));
    }

    /**
     * Takes what the leader before told of this engine: the load that runs, which the engine itself does not name.
     *
     * <p>Of several loads that were told only the first can run; the others were planned.
     */
    public void assume(InstancePlacement told) {
        if (told.bornMs() != version.bornMs()) {
            return;
        }
        told.models().entrySet().stream()
                .filter(entry -> entry.getValue().status() == ReplicaStatus.LOADING && !holds(entry.getKey()))
                .min(Comparator.comparingLong(entry -> entry.getValue().readyAtMs()))
                .ifPresent(entry -> assumeLoad(entry.getKey(), entry.getValue().readyAtMs()));
    }

    private void assumeLoad(ModelName model, long readyAtMs) {
        models.all().put(model, new Resident(ReplicaStatus.LOADING, readyAtMs));
        if (!atHand(model)) {
            remoteLoad = Optional.of(RemoteLoad.inherited(model, readyAtMs));
        }
    }

    /**
     * Takes the answer to the open order.
     *
     * @param time how long it takes if it is carried out
     */
    public void onAnswer(ReplicaOrder order, OrderOutcome outcome, OrderTime time, long nowMs) {
        if (open.isEmpty() || !open.get().equals(order)) {
            return;
        }
        open = Optional.empty();
        switch (outcome) {
            case ACCEPTED -> accepted(order, time, nowMs);
            case ALREADY_DONE, CONFLICT, REFUSED, UNKNOWN, FENCED_OFF, WRONG_INSTANCE -> contact.unsure(nowMs);
        }
    }

    private void accepted(ReplicaOrder order, OrderTime time, long nowMs) {
        if (order.expected().equals(version)) {
            version = new InstanceVersion(version.bornMs(), version.orderSequence() + 1);
        }
        if (order.adapter().isPresent()) {
            adapterChanged(order, nowMs);
            return;
        }
        if (order.action() == OrderAction.LOAD) {
            if (!atHand(order.model())) {
                remoteLoad = Optional.of(RemoteLoad.begun(order.model(), time, nowMs));
            }
            models.all().put(order.model(), new Resident(ReplicaStatus.LOADING, nowMs + time.expectedMs()));
            copies.loaded(order.model());
            if (goal.equals(Optional.of(order.model()))) {
                goal = Optional.empty();
            }
        }
        contact.askNotBefore(nowMs + time.nominalMs() + OVERDUE_MS);
    }

    private void adapterChanged(ReplicaOrder order, long nowMs) {
        Optional<Resident> base = models.get(order.model());
        AdapterName adapter = order.adapter().orElseThrow();
        if (order.action() == OrderAction.LOAD) {
            base.ifPresent(resident -> resident.putAdapter(adapter, nowMs + ADAPTER_LOAD_MS));
        } else {
            base.ifPresent(resident -> resident.removeAdapter(adapter));
        }
    }

    /** Returns whether the engine itself should be asked now. */
    public boolean needsReport(long nowMs) {
        return open.isEmpty() && contact.mayAsk(nowMs) && (!contact.known() || changing());
    }

    /** Takes note that a report was asked for or did not come. */
    public void onReportAsked(long nowMs) {
        contact.asked(nowMs);
    }

    /** Returns whether a model is being loaded or unloaded. */
    public boolean changing() {
        return contact.busy() || models.changing();
    }

    /** Returns whether a model order may be sent. */
    public boolean takesModelOrder() {
        return takesAdapterOrder() && !changing();
    }

    /** Returns whether an adapter order may be sent. */
    public boolean takesAdapterOrder() {
        return contact.known() && open.isEmpty() && trusted();
    }

    /** Returns the model that was ordered but not yet accepted, or else the one for which room is being made. */
    Optional<ModelName> coming() {
        return ordered().isPresent() ? ordered() : goal;
    }

    private Optional<ModelName> ordered() {
        return open.filter(order ->
                        order.action() == OrderAction.LOAD && order.adapter().isEmpty())
                .map(ReplicaOrder::model);
    }

    /** Returns the model for which room is being made. */
    public Optional<ModelName> goal() {
        return goal;
    }

    void goal(Optional<ModelName> model) {
        goal = model;
    }

    InstanceVersion version() {
        return version;
    }

    Map<ModelName, Resident> models() {
        return models.all();
    }

    boolean holds(ModelName model) {
        return models.get(model).isPresent();
    }

    boolean loads(ModelName model) {
        return models.get(model)
                .filter(resident -> resident.status() == ReplicaStatus.LOADING)
                .isPresent();
    }

    boolean serves(ModelName model) {
        return trusted() && models.get(model).filter(Resident::ready).isPresent();
    }

    /** Returns whether every load here would come from the weight store. */
    boolean hasNothingAtHand() {
        return copies.isEmpty();
    }

    /** Returns whether the engine has a copy of the weights at hand, so that no load from the store is needed. */
    boolean atHand(ModelName model) {
        return copies.has(model);
    }

    /** Returns in how many milliseconds a model order can be sent, as far as can be foreseen; 0 if now. */
    long freeInMs(long nowMs) {
        if (takesModelOrder()) {
            return 0;
        }
        return Math.max(ANSWER_MS, models.loadsEndAtMs() - nowMs);
    }

    /** Returns the load from the weight store that has ended here since asked, whether with success or not. */
    Optional<RemoteLoad> takeEndedRemoteLoad() {
        Optional<RemoteLoad> ended = remoteLoad.filter(load -> !loads(load.model()));
        if (ended.isPresent()) {
            remoteLoad = Optional.empty();
        }
        return ended;
    }

    /** Returns the load from the weight store that runs here, while the engine is trusted to carry it out. */
    Optional<RemoteLoad> remoteLoad() {
        return trusted() ? remoteLoad : Optional.empty();
    }

    /** Takes over when the load from the weight store here is expected to end. */
    void foretellRemoteLoad() {
        remoteLoad.ifPresent(
                load -> models.get(load.model()).ifPresent(resident -> resident.readyAtMs(load.expectedAtMs())));
    }

    /** Returns whether a load from the weight store runs here, or has been ordered. */
    boolean loadingRemotely(long nowMs) {
        boolean runs = remoteLoad
                .filter(load -> loads(load.model()) && !load.lost(nowMs))
                .filter(load -> trusted() || nowMs <= load.expectedAtMs())
                .isPresent();
        return runs || ordered().filter(model -> !atHand(model)).isPresent();
    }

    /** Returns whether a model comes here from the weight store. */
    boolean loadsRemotely(ModelName model) {
        return loads(model)
                && remoteLoad.filter(load -> load.model().equals(model)).isPresent();
    }

    /** Returns when the load from the weight store here is expected to end; 0 if none runs. */
    long remoteUntilMs() {
        return remoteLoad.map(RemoteLoad::expectedAtMs).orElse(0L);
    }

    /** Returns how long a load of a model takes here, by where its weights lie. */
    public long loadMs(ModelDefinition model) {
        return copies.loadMs(model);
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
