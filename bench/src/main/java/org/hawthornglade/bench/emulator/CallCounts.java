package org.hawthornglade.bench.emulator;

/** Counts the calls of a run by outcome. */
final class CallCounts {
    private int calls;
    private int served;
    private int late;
    private int refused;

    void called() {
        calls++;
    }

    void served(EmulatedCall call, long nowMs) {
        boolean onTime =
                nowMs - call.view().arrivedAtMs() <= call.view().route().targetMs();
        served += onTime ? 1 : 0;
        late += onTime ? 0 : 1;
    }

    void refused() {
        refused++;
    }

    int calls() {
        return calls;
    }

    int served() {
        return served;
    }

    int late() {
        return late;
    }

    int refusals() {
        return refused;
    }
}
