package org.hawthornglade.core.replica;

import java.util.HashMap;
import java.util.HashSet;
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
    /** How old a report is at the most; one asked for earlier after an order does not show the order's effect. */
    private static final long REPORT_LAG_MS = 300;

    private final Map<ModelName, Resident> models = new HashMap<>();
    private final Set<ModelName> inMemory = new HashSet<>();
    private final Set<ModelName> onDisk = new HashSet<>();
    private InstanceRecord listed;
    private InstanceVersion version;
    private Optional<ReplicaOrder> open = Optional.empty();
    private Optional<ModelName> goal = Optional.empty();
    private boolean known;
    private boolean busyElsewhere;
    private boolean unreachable;
    private long reportNotBeforeMs;
    private long remoteUntilMs;

    /** Starts with the engine's record on the list. */
    public EngineBook(InstanceRecord listed) {
        this.listed = listed;
        this.version = new InstanceVersion(listed.bornMs(), 0);
        takeModels(listed.models(), 0);
        inMemory.addAll(listed.inMemory());
        onDisk.addAll(listed.onDisk());
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
        takeCopies(record.inMemory(), record.onDisk());
        boolean agrees = true;
        for (ModelName model : record.models().keySet()) {
            Resident resident = models.get(model);
            agrees &= resident != null;
            if (resident != null && resident.status() == ReplicaStatus.LOADING) {
                resident.becomes(ReplicaStatus.READY, nowMs);
            }
        }
        models.entrySet()
                .removeIf(entry -> entry.getValue().status() == ReplicaStatus.UNLOADING
                        && !record.models().containsKey(entry.getKey()));
        for (Map.Entry<ModelName, Resident> entry : models.entrySet()) {
            agrees &= !entry.getValue().ready() || record.models().containsKey(entry.getKey());
        }
        known &= agrees;
    }

    private void restart(InstanceRecord record, long nowMs) {
        models.clear();
        inMemory.clear();
        onDisk.clear();
        open = Optional.empty();
        goal = Optional.empty();
        known = false;
        busyElsewhere = false;
        unreachable = false;
        version = new InstanceVersion(record.bornMs(), 0);
        takeModels(record.models(), nowMs);
        takeCopies(record.inMemory(), record.onDisk());
    }

    /** Takes note that the engine did not answer a report. */
    public void onReportFailed() {
        known = false;
        unreachable = true;
    }

    /** Takes note that an entry cannot reach the engine; the engine itself is asked next. */
    public void doubt(long nowMs) {
        if (known) {
            known = false;
            reportNotBeforeMs = nowMs;
        }
    }

    /** Returns whether the engine is expected to run what is sent to it. */
    boolean trusted() {
        return !unreachable && !listed.leaving();
    }

    /** Returns whether a model is here, or is coming within the time that was expected. */
    boolean offers(ModelName model, long nowMs) {
        Resident resident = models.get(model);
        if (resident == null || !trusted() || resident.status() == ReplicaStatus.UNLOADING) {
            return false;
        }
        return resident.ready() || nowMs <= resident.readyAtMs() + LOST_LOAD_MS;
    }

    /** Takes the engine's own report. */
    public void onReport(EngineReport report, long nowMs) {
        unreachable = false;
        reportNotBeforeMs = nowMs + REPORT_LAG_MS;
        boolean otherStart = report.version().bornMs() != 0 && report.version().bornMs() != version.bornMs();
        boolean older = report.version().orderSequence() < version.orderSequence();
        if (otherStart || older) {
            return;
        }
        version = new InstanceVersion(version.bornMs(), report.version().orderSequence());
        busyElsewhere = report.busy();
        known = !report.busy();
        if (!report.busy()) {
            models.values().removeIf(resident -> resident.status() == ReplicaStatus.UNLOADING);
        }
        takeModels(report.models(), nowMs);
        if (!report.busy()) {
            models.keySet().retainAll(report.models().keySet());
        }
        takeCopies(report.inMemory(), report.onDisk());
    }

    private void takeModels(Map<ModelName, Set<AdapterName>> held, long nowMs) {
        held.forEach((model, adapters) -> {
            Resident resident = models.computeIfAbsent(model, name -> new Resident(ReplicaStatus.READY, 0));
            if (resident.status() == ReplicaStatus.LOADING) {
                resident.becomes(ReplicaStatus.READY, nowMs);
            }
            for (AdapterName adapter : adapters) {
                if (!resident.adapters().containsKey(adapter)) {
                    resident.putAdapter(adapter, 0);
                }
            }
        });
    }

    private void takeCopies(Set<ModelName> memory, Set<ModelName> disk) {
        if (!memory.isEmpty() || !disk.isEmpty()) {
            inMemory.clear();
            inMemory.addAll(memory);
            onDisk.clear();
            onDisk.addAll(disk);
        }
    }

    /** Takes note that an order is sent. */
    public void onSent(ReplicaOrder order, long nowMs) {
        open = Optional.of(order);
        boolean removal =
                order.action() == OrderAction.UNLOAD && order.adapter().isEmpty();
        if (removal && models.containsKey(order.model())) {
            // Entries must send nothing there any more, whatever becomes of the order.
            models.get(order.model()).becomes(ReplicaStatus.UNLOADING, nowMs);
        }
    }

    /** Takes the answer to the open order. */
    public void onAnswer(ReplicaOrder order, OrderOutcome outcome, long expectedMs, long nowMs) {
        if (open.isEmpty() || !open.get().equals(order)) {
            return;
        }
        open = Optional.empty();
        switch (outcome) {
            case ACCEPTED -> accepted(order, expectedMs, nowMs);
            case ALREADY_DONE, CONFLICT, REFUSED, UNKNOWN -> unsure(nowMs);
            case FENCED_OFF, WRONG_INSTANCE -> unsure(nowMs);
        }
    }

    private void unsure(long nowMs) {
        known = false;
        reportNotBeforeMs = nowMs + REPORT_LAG_MS;
    }

    private void accepted(ReplicaOrder order, long expectedMs, long nowMs) {
        if (order.expected().equals(version)) {
            version = new InstanceVersion(version.bornMs(), version.orderSequence() + 1);
        }
        if (order.adapter().isPresent()) {
            adapterChanged(order, nowMs);
            return;
        }
        if (order.action() == OrderAction.LOAD) {
            remoteUntilMs = atHand(order.model()) ? remoteUntilMs : nowMs + expectedMs;
            models.put(order.model(), new Resident(ReplicaStatus.LOADING, nowMs + expectedMs));
            inMemory.add(order.model());
            onDisk.add(order.model());
            if (goal.equals(Optional.of(order.model()))) {
                goal = Optional.empty();
            }
        }
        reportNotBeforeMs = nowMs + expectedMs + OVERDUE_MS;
    }

    private void adapterChanged(ReplicaOrder order, long nowMs) {
        Resident base = models.get(order.model());
        if (base == null) {
            return;
        }
        if (order.action() == OrderAction.LOAD) {
            base.putAdapter(order.adapter().orElseThrow(), nowMs + ADAPTER_LOAD_MS);
        } else {
            base.removeAdapter(order.adapter().orElseThrow());
        }
    }

    /** Returns whether the engine itself should be asked now. */
    public boolean needsReport(long nowMs) {
        return open.isEmpty() && nowMs >= reportNotBeforeMs && (!known || changing());
    }

    /** Takes note that a report was asked for or did not come. */
    public void onReportAsked(long nowMs) {
        reportNotBeforeMs = nowMs + REPORT_LAG_MS;
    }

    /** Returns whether a model is being loaded or unloaded. */
    public boolean changing() {
        for (Resident resident : models.values()) {
            if (!resident.ready()) {
                return true;
            }
        }
        return busyElsewhere;
    }

    /** Returns whether a model order may be sent. */
    public boolean takesModelOrder() {
        return takesAdapterOrder() && !changing();
    }

    /** Returns whether an adapter order may be sent. */
    public boolean takesAdapterOrder() {
        return known && open.isEmpty() && trusted();
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
        return models;
    }

    boolean holds(ModelName model) {
        return models.containsKey(model);
    }

    boolean serves(ModelName model) {
        Resident resident = models.get(model);
        return resident != null && resident.ready() && trusted();
    }

    /** Returns whether the engine has a copy of the weights at hand, so that no load from the store is needed. */
    boolean atHand(ModelName model) {
        return inMemory.contains(model) || onDisk.contains(model);
    }

    /** Returns in how many milliseconds a model order can be sent, as far as can be foreseen; 0 if now. */
    long freeInMs(long nowMs) {
        if (takesModelOrder()) {
            return 0;
        }
        long freeInMs = ANSWER_MS;
        for (Resident resident : models.values()) {
            if (resident.status() == ReplicaStatus.LOADING) {
                freeInMs = Math.max(freeInMs, resident.readyAtMs() - nowMs);
            }
        }
        return freeInMs;
    }

    /** Returns whether a load from the weight store runs here. */
    boolean loadingRemotely(long nowMs) {
        return remoteUntilMs > nowMs;
    }

    /** Returns how long a load of a model takes here, by where its weights lie. */
    public long loadMs(ModelDefinition model) {
        if (inMemory.contains(model.name())) {
            return model.memoryLoadMs();
        }
        return onDisk.contains(model.name()) ? model.diskLoadMs() : model.remoteLoadMs();
    }

    double usedMb(EngineDefinition engine) {
        double used = 0;
        for (Map.Entry<ModelName, Resident> entry : models.entrySet()) {
            ModelDefinition model = engine.models().get(entry.getKey());
            if (model == null) {
                // A model that the configuration no longer names has an unknown size: nothing more fits beside it.
                return engine.modelMemoryMb();
            }
            used += model.sizeMb()
                    + model.adapterMb() * entry.getValue().adapters().size();
        }
        return used;
    }

    int adapterCount() {
        int count = 0;
        for (Resident resident : models.values()) {
            count += resident.adapters().size();
        }
        return count;
    }

    /** Returns what entries are told of this engine. */
    public InstancePlacement placement(long nowMs) {
        Map<ModelName, ReplicaState> states = new HashMap<>();
        models.forEach((model, resident) -> states.put(model, resident.state(nowMs)));
        return new InstancePlacement(listed.id(), version.bornMs(), states);
    }
}
