package org.hawthornglade.core.ledger;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.id.ModelName;

/**
 * The book of one engine's accelerator memory: what is reserved and what is reported, counted at the larger of both.
 *
 * <p>A reservation is made before a load is ordered. It ends only when a report that was taken after the last order for
 * the model no longer shows the model, so neither a lost reply nor a lagging report can lead to overcommitment.
 */
public final class MemoryLedger {
    private final Map<ModelName, Reservation> reservations = new HashMap<>();
    private EngineReport latest;

    /** Returns whether a report has been taken in, without which nothing may be reserved. */
    public boolean known() {
        return latest != null;
    }

    /** Returns the latest report, or null. */
    public EngineReport latest() {
        return latest;
    }

    /** Returns the accelerator memory that nothing takes or reserves, in MiB; 0 before the first report. */
    public int freeMb() {
        return latest == null ? 0 : Math.max(0, latest.memoryMb() - takenMb());
    }

    /** Returns how much memory freeing a model would give back, in MiB. */
    public int takenMb(ModelName model) {
        int reservedMb = reservations.containsKey(model) ? reservations.get(model).memoryMb : 0;
        return Math.max(reservedMb, reportedMb(model));
    }

    /**
     * Reserves memory for a load that is about to be ordered.
     *
     * @param memoryMb how much, in MiB
     * @return false if it does not fit, in which case nothing is reserved
     */
    public boolean reserve(ModelName model, int memoryMb) {
        int moreMb = Math.max(0, memoryMb - takenMb(model));
        if (!known() || moreMb > freeMb()) {
            return false;
        }
        reservations.put(model, new Reservation(memoryMb, Reservation.UNANSWERED));
        return true;
    }

    /** Notes that the engine took in an order for the model under this number. */
    public void ordered(ModelName model, long orderSequence) {
        Reservation reservation = reservations.get(model);
        if (reservation != null) {
            reservations.put(model, new Reservation(reservation.memoryMb, orderSequence));
        }
    }

    /** Ends a reservation whose order certainly had no effect. */
    public void cancel(ModelName model) {
        reservations.remove(model);
    }

    /** Takes in a report; one that is older than the latest of the same engine run is ignored. */
    public void take(EngineReport report) {
        if (latest != null && latest.bootId() == report.bootId() && report.takenAtMs() < latest.takenAtMs()) {
            return;
        }
        boolean restarted = latest != null && latest.bootId() != report.bootId();
        latest = report;
        Set<ModelName> held = new HashSet<>();
        report.models().forEach(model -> held.add(model.model()));
        reservations
                .entrySet()
                .removeIf(entry -> !held.contains(entry.getKey())
                        && (restarted || entry.getValue().seenBy(report.orderSequence())));
    }

    private int takenMb() {
        Set<ModelName> names = new HashSet<>(reservations.keySet());
        latest.models().forEach(model -> names.add(model.model()));
        return names.stream().mapToInt(this::takenMb).sum();
    }

    private int reportedMb(ModelName model) {
        if (latest == null) {
            return 0;
        }
        return latest.models().stream()
                .filter(held -> held.model().equals(model))
                .mapToInt(EngineModel::memoryMb)
                .sum();
    }

    private record Reservation(int memoryMb, long orderSequence) {
        static final long UNANSWERED = Long.MAX_VALUE;

        boolean seenBy(long reportSequence) {
            return orderSequence <= reportSequence;
        }
    }
}
