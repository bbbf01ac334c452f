package org.hawthornglade.bench.experiment;

/**
 * The demand that one entry reports for one model.
 *
 * @param queued the number of waiting requests
 * @param rejected the number of recent requests rejected with a retry-after time because the model was not ready
 * @param rejectedUntilMs until when the rejected requests count, in milliseconds
 * @param weight the sum of the class weights of waiting and rejected requests
 * @param earliestDeadlineAtMs the earliest deadline of the waiting requests, in milliseconds
 */
record Demand(int queued, int rejected, long rejectedUntilMs, double weight, long earliestDeadlineAtMs) {
    static final Demand NONE = new Demand(0, 0, 0, 0, Long.MAX_VALUE);

    int wanted() {
        return queued + rejected;
    }

    Demand plus(Demand other, long nowMs) {
        if (other.queued == 0 && other.rejected == 0) {
            return this;
        }
        int otherTurnedAway = other.rejectedUntilMs > nowMs ? other.rejected : 0;
        double otherWeight = other.queued + otherTurnedAway == 0 ? 0 : other.weight;
        return new Demand(
                queued + other.queued,
                rejected + otherTurnedAway,
                Math.max(rejectedUntilMs, other.rejectedUntilMs),
                weight + otherWeight,
                Math.min(earliestDeadlineAtMs, other.earliestDeadlineAtMs));
    }
}
