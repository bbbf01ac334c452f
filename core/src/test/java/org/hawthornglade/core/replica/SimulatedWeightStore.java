package org.hawthornglade.core.replica;

import java.util.ArrayList;
import java.util.List;

/** Simulates a weight store that serves a number of concurrent loads at full speed and slows down beyond that. */
final class SimulatedWeightStore {
    /** How the store behaves when more loads run than it serves at full speed. */
    enum OverloadBehaviour {
        /** Further loads wait until an earlier one has ended. */
        QUEUE,
        /** All loads share the rate of the store. */
        SHARED_RATE,
        /** A load is slowed down by the number of loads that run when it starts. */
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

    void start(String name, long nominalMs) {
        int running = loads.size() + 1;
        boolean slower = overload == OverloadBehaviour.SLOWER_FROM_BEGIN;
        loads.add(new Load(name, slower ? nominalMs * slowdown(running) : nominalMs));
    }

    private double slowdown(int running) {
        return Math.max(1, (double) running / atFullSpeed);
    }

    /** Advances the time and returns the loads that have ended. */
    List<String> advance(long ms) {
        double share = overload == OverloadBehaviour.SHARED_RATE ? 1 / slowdown(loads.size()) : 1;
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
