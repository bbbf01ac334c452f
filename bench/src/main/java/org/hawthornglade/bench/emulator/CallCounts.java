package org.hawthornglade.bench.emulator;

/** How the calls of a run ended. */
final class CallCounts {
    private int calls;
    private int served;
    private int late;
    private int refused;

    void called() {
        calls++;
    }

    void served(EmulatedCall call, long nowMs) {
        boolean inTime =
                nowMs - call.view().arrivedAtMs() <= call.view().route().targetMs();
        served += inTime ? 1 : 0;
        late += inTime ? 0 : 1;
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
