package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.List;

/** A weight store that serves some loads at full speed at once, and more of them in one of several ways. */
final class SimulatedWeightStore {
    /** What happens to loads beyond those that the store serves at full speed. */
    enum OverloadBehaviour {
        /** They wait until an earlier one has ended. */
        QUEUE,
        /** All share the store's rate. */
        SHARED_RATE,
        /** A load takes longer by how many run when it begins. */
        SLOWER_FROM_BEGIN
    }

    private static final class Load {
        private final String name;
        private double leftMs;

        private Load(String name, double leftMs) {
            this.name = name;
            this.leftMs = leftMs;
        }
    }

    private final OverloadBehaviour overload;
    private final int atFullSpeed;
    private final List<Load> loads = new ArrayList<>();

    SimulatedWeightStore(OverloadBehaviour overload, int atFullSpeed) {
        this.overload = overload;
        this.atFullSpeed = atFullSpeed;
    }

    void begin(String name, long nominalMs) {
        int running = loads.size() + 1;
        boolean slower = overload == OverloadBehaviour.SLOWER_FROM_BEGIN;
        loads.add(new Load(name, slower ? nominalMs * crowding(running) : nominalMs));
    }

    private double crowding(int running) {
        return Math.max(1, (double) running / atFullSpeed);
    }

    /** Lets time pass; returns the loads that have ended. */
    List<String> pass(long ms) {
        double share = overload == OverloadBehaviour.SHARED_RATE ? 1 / crowding(loads.size()) : 1;
        int served = overload == OverloadBehaviour.QUEUE ? Math.min(atFullSpeed, loads.size()) : loads.size();
        List<String> ended = new ArrayList<>();
        for (Load load : loads.subList(0, served)) {
            load.leftMs -= ms * share;
        }
        for (Load load : loads) {
            if (load.leftMs <= 0) {
                ended.add(load.name);
            }
        }
        loads.removeIf(load -> load.leftMs <= 0);
        return ended;
    }
}
