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
 * The book of one engine's accelerator memory: what is reserved and what is reported, counted at the larger of both.
 *
 * <p>A reservation is made before a load is ordered. It ends only when a report that was taken after the last order for
 * the model no longer shows the model, so neither a lost reply nor a lagging report can lead to overcommitment. An
 * order whose outcome is unknown may still reach the engine; its reservation ends no earlier than the engine is known
 * to refuse the number that it carries.
 */
public final class MemoryLedger {
    private static final long UNANSWERED = Long.MAX_VALUE;
    private static final long NO_UNCERTAIN_ORDER = -1;

    private final Map<ModelName, Reservation> reservations = new TreeMap<>();
    private final Set<Long> pastBootIds = new HashSet<>();
    private final Map<ModelName, EngineModel> reported = new HashMap<>();
    private EngineReport latest;

    /** Returns whether a report has been taken in, without which nothing may be reserved. */
    public boolean hasReport() {
        return latest != null;
    }

    /** Returns whether an engine run has ended, as a later one has reported. */
    public boolean isPastBoot(long bootId) {
        return pastBootIds.contains(bootId);
    }

    /** Returns the latest report, or null. */
    public EngineReport latest() {
        return latest;
    }

    /** Returns what the latest report says of a model, or null. */
    public EngineModel reported(ModelName model) {
        return reported.get(model);
    }

    /** Returns the accelerator memory that nothing takes or reserves, in MiB; 0 before the first report. */
    public int freeMb() {
        return latest == null ? 0 : Math.max(0, latest.memoryMb() - usedMb());
    }

    /** Returns how much memory freeing a model would give back, in MiB. */
    public int usedMb(ModelName model) {
        Reservation reservation = reservations.get(model);
        EngineModel held = reported.get(model);
        return Math.max(reservation == null ? 0 : reservation.memoryMb, held == null ? 0 : held.memoryMb());
    }

    /** Returns whether the engine has a model, or may have it. */
    public boolean mayHold(ModelName model) {
        return reservations.containsKey(model) || reported.containsKey(model);
    }

    /**
     * Reserves memory for a load that is about to be ordered.
     *
     * @param memoryMb how much, in MiB
     * @return false if it does not fit, in which case nothing is reserved
     */
    public boolean reserve(ModelName model, int memoryMb) {
        int moreMb = Math.max(0, memoryMb - usedMb(model));
        if (!hasReport() || moreMb > freeMb()) {
            return false;
        }
        Reservation earlier = reservations.get(model);
        long lostUnder = earlier == null ? NO_UNCERTAIN_ORDER : earlier.uncertainFencingNumber;
        int keptMb = earlier == null ? 0 : earlier.memoryMb;
        reservations.put(model, new Reservation(Math.max(keptMb, memoryMb), UNANSWERED, lostUnder));
        return true;
    }

    /** Notes that the engine took in an order for the model under this sequence number. */
    public void onOrderAccepted(ModelName model, long orderSequence) {
        reservations.computeIfPresent(
                model, (name, old) -> new Reservation(old.memoryMb, orderSequence, old.uncertainFencingNumber));
    }

    /**
     * Notes that an order for the model may still take effect.
     *
     * @param fencingNumber the number that the order carries
     */
    public void onOrderOutcomeUnknown(ModelName model, long fencingNumber) {
        reservations.computeIfPresent(model, (name, old) -> new Reservation(old.memoryMb, 0, fencingNumber));
    }

    /**
     * Notes that the engine refuses orders below a fencing number.
     *
     * @param fencingNumber the number
     * @param orderSequence the sequence number of the order that raised it
     */
    public void onFenceRaised(long fencingNumber, long orderSequence) {
        reservations.replaceAll((model, old) -> old.uncertainFencingNumber == NO_UNCERTAIN_ORDER || old.uncertainFencingNumber >= fencingNumber
                ? old
                : new Reservation(old.memoryMb, Math.max(old.orderSequence, orderSequence), NO_UNCERTAIN_ORDER));
    }

    /** Ends a reservation whose order certainly had no effect; one of an earlier order in doubt stays. */
    public void cancel(ModelName model) {
        reservations.computeIfPresent(
                model,
                (name, old) -> old.uncertainFencingNumber == NO_UNCERTAIN_ORDER ? null : new Reservation(old.memoryMb, 0, old.uncertainFencingNumber));
    }

    /**
     * Takes in a report.
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

    /** A restarted engine counts anew; what it had taken in before has no effect any more. */
    private void resetSequences() {
        reservations.replaceAll((model, old) ->
                old.orderSequence == UNANSWERED ? old : new Reservation(old.memoryMb, 0, old.uncertainFencingNumber));
    }

    private int usedMb() {
        Set<ModelName> names = new TreeSet<>(reservations.keySet());
        names.addAll(reported.keySet());
        return names.stream().mapToInt(this::usedMb).sum();
    }

    /** {@code lostUnder} is the fencing number of an order that may still take effect. */
    private record Reservation(int memoryMb, long orderSequence, long uncertainFencingNumber) {
        boolean coveredBy(long reportSequence) {
            return uncertainFencingNumber == NO_UNCERTAIN_ORDER && orderSequence <= reportSequence;
        }
    }
}
