package org.hawthornglade.bench.crash;

/** What crashes the engines of a run. */
public enum DeadlyKind {
    /** A part of prompts that differ otherwise. */
    PART(5),
    /** One request that comes again. */
    REQUEST(3);

    private final int crashesToReact;

    DeadlyKind(int crashesToReact) {
        this.crashesToReact = crashesToReact;
    }

    /** Returns the number of crashes after which the time to react begins. */
    int crashesToReact() {
        return crashesToReact;
    }
}
