package org.hawthornglade.core.ledger;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hawthornglade.core.engine.EngineModel;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.id.ModelName;

/**
 * Accounts for the accelerator memory of one engine; each model counts with the larger of its reserved and reported
 * size.
 *
 * <p>Memory is reserved before a load is ordered. A reservation ends only when a report created after the last order
 * for the model no longer contains the model, so that neither a lost reply nor a lagging report can lead to
 * overcommitment. An order whose outcome is unknown may still reach the engine; its reservation ends only after the
 * engine is known to refuse the order's fencing number.
 */
public final class MemoryLedger {
    private static final long UNANSWERED = Long.MAX_VALUE;
    private static final long NO_UNCERTAIN_ORDER = -1;

    private final Map<ModelName, Reservation> reservations = new TreeMap<>();
    private final Set<Long> pastBootIds = new HashSet<>();
    private final Map<ModelName, EngineModel> reported = new HashMap<>();
    private EngineReport latest;

    /** Returns whether a report has been received; nothing can be reserved before. */
    public boolean hasReport() {
        return latest != null;
    }

    /** Returns whether an engine run has ended, because a later one has reported. */
    public boolean isPastBoot(long bootId) {
        return pastBootIds.contains(bootId);
    }

    /** Returns the latest report, or null if none was received. */
    public EngineReport latest() {
        return latest;
    }

    /** Returns the state of a model in the latest report, or null if it is not reported. */
    public EngineModel reported(ModelName model) {
        return reported.get(model);
    }

    /** Returns the accelerator memory neither occupied nor reserved, in MiB; 0 before the first report. */
    public int freeMb() {
        return latest == null ? 0 : Math.max(0, latest.memoryMb() - usedMb());
    }

    /** Returns the memory that a model occupies or reserves, in MiB. */
    public int usedMb(ModelName model) {
        Reservation reservation = reservations.get(model);
        EngineModel onEngine = reported.get(model);
        return Math.max(reservation == null ? 0 : reservation.memoryMb, onEngine == null ? 0 : onEngine.memoryMb());
    }

    /** Returns whether the engine has or may have a model. */
    public boolean mayHold(ModelName model) {
        return reservations.containsKey(model) || reported.containsKey(model);
    }

    /**
     * Reserves memory for a load that is about to be ordered.
     *
     * @param memoryMb the memory to reserve, in MiB
     * @return false if it does not fit, in which case nothing is reserved
     */
    public boolean reserve(ModelName model, int memoryMb) {
        int additionalMb = Math.max(0, memoryMb - usedMb(model));
        if (!hasReport() || additionalMb > freeMb()) {
            return false;
        }
        Reservation existing = reservations.get(model);
        long uncertainFencingNumber = existing == null ? NO_UNCERTAIN_ORDER : existing.uncertainFencingNumber;
        int existingMb = existing == null ? 0 : existing.memoryMb;
        reservations.put(model, new Reservation(Math.max(existingMb, memoryMb), UNANSWERED, uncertainFencingNumber));
        return true;
    }

    /** Records that the engine accepted an order for the model under this sequence number. */
    public void onOrderAccepted(ModelName model, long orderSequence) {
        reservations.computeIfPresent(
                model, (name, old) -> new Reservation(old.memoryMb, orderSequence, old.uncertainFencingNumber));
    }

    /**
     * Records that an order for the model may still take effect.
     *
     * @param fencingNumber the fencing number of the order
     */
    public void onOrderOutcomeUnknown(ModelName model, long fencingNumber) {
        reservations.computeIfPresent(model, (name, old) -> new Reservation(old.memoryMb, 0, fencingNumber));
    }

    /**
     * Records that the engine refuses orders below a fencing number.
     *
     * @param fencingNumber the lowest number that is still accepted
     * @param orderSequence the sequence number of the order that raised it
     */
    public void onFenceRaised(long fencingNumber, long orderSequence) {
        reservations.replaceAll((model, old) -> old.uncertainFencingNumber == NO_UNCERTAIN_ORDER
                        || old.uncertainFencingNumber >= fencingNumber
                ? old
                : new Reservation(old.memoryMb, Math.max(old.orderSequence, orderSequence), NO_UNCERTAIN_ORDER));
    }

    /** Ends a reservation whose order had no effect, unless an earlier order may still take effect. */
    public void cancel(ModelName model) {
        reservations.computeIfPresent(
                model,
                (name, old) -> old.uncertainFencingNumber == NO_UNCERTAIN_ORDER
                        ? null
                        : new Reservation(old.memoryMb, 0, old.uncertainFencingNumber));
    }

    /**
     * Handles a report.
     *
     * @return false if it is older than the latest and was ignored
     */
    public boolean onReport(EngineReport report) {
        if (isStale(report)) {
            return false;
        }
        if (latest != null && latest.bootId() != report.bootId()) {
            pastBootIds.add(latest.bootId());
            resetSequences();
        }
        latest = report;
        reported.clear();
        report.models().forEach(model -> reported.put(model.model(), model));
        reservations
                .entrySet()
                .removeIf(entry -> !reported.containsKey(entry.getKey())
                        && entry.getValue().coveredBy(report.orderSequence()));
        return true;
    }

    private boolean isStale(EngineReport report) {
        if (latest == null) {
            return false;
        }
        if (latest.bootId() != report.bootId()) {
            return pastBootIds.contains(report.bootId());
        }
        return report.takenAtMs() < latest.takenAtMs() || report.orderSequence() < latest.orderSequence();
    }

    /** Resets the sequence numbers: a restarted engine counts anew, and earlier orders no longer have any effect. */
    private void resetSequences() {
        reservations.replaceAll((model, old) ->
                old.orderSequence == UNANSWERED ? old : new Reservation(old.memoryMb, 0, old.uncertainFencingNumber));
    }

    private int usedMb() {
        Set<ModelName> names = new TreeSet<>(reservations.keySet());
        names.addAll(reported.keySet());
        return names.stream().mapToInt(this::usedMb).sum();
    }

    /** {@code uncertainFencingNumber} is the fencing number of an order that may still take effect. */
    private record Reservation(int memoryMb, long orderSequence, long uncertainFencingNumber) {
        boolean coveredBy(long reportSequence) {
            return uncertainFencingNumber == NO_UNCERTAIN_ORDER && orderSequence <= reportSequence;
        }
    }
}
