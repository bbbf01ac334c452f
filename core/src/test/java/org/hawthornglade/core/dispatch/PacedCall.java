package org.hawthornglade.core.dispatch;

/** A call of {@link PacedDeployment}. */
final class PacedCall {
    private final PacedDeployment deployment;
    final PacedLoad.Kind kind;
    final CallView view;
    final ModelDemand demand;
    final boolean first;
    final int number;
    PacedEngine engine;
    PacedEntry entry;
    long sentAtMs;
    long firstAtMs = -1;
    int inFlight;
    int own;
    double startMs;
    int prefillTokens;
    double leftPrefill = -1;
    double leftOutput;
    boolean counted;

    PacedCall(PacedDeployment deployment, PacedLoad.Kind kind, CallView view, boolean first) {
        this.deployment = deployment;
        this.number = deployment.figures.calls;
        this.kind = kind;
        this.view = view;
        this.demand = view.demand().orElseThrow();
        this.first = first;
        this.leftOutput = kind.outputTokens();
    }

    void onFirst() {
        if (counted) {
            return;
        }
        counted = true;
        if (deployment.nowMs() - view.arrivedAtMs() <= kind.route().targetMs()) {
            deployment.figures.inTime++;
            deployment.figures.firstInTime += first ? 1 : 0;
            deployment.figures.inTimeByKind.merge(kind.route().name(), 1, Integer::sum);
        }
    }
}
