package org.hawthornglade.standin.fault;

/** Builds a fault script out of the faults that are named. */
public final class FaultScriptBuilder {
    private long slowMs;
    private long slowJitterMs;
    private long seed;
    private boolean down;
    private int failEvery;
    private int failStatus;
    private int loseReplyEvery;
    private long rateLimitMs;
    private boolean freeze;
    private int speedPercent;
    private int crashLoadEvery;
    private boolean stallStreams;
    private int cutStreamEvery;

    /** Adds a time to every call, in milliseconds. */
    public FaultScriptBuilder slowMs(long value) {
        slowMs = value;
        return this;
    }

    /** Adds at most this much more time, drawn by a seed, in milliseconds. */
    public FaultScriptBuilder slowJitterMs(long value, long drawnBy) {
        slowJitterMs = value;
        seed = drawnBy;
        return this;
    }

    /** Refuses every call with status 503. */
    public FaultScriptBuilder down() {
        down = true;
        return this;
    }

    /** Refuses every k-th call with a status, without effect. */
    public FaultScriptBuilder failEvery(int calls, int status) {
        failEvery = calls;
        failStatus = status;
        return this;
    }

    /** Carries out every k-th change, then cuts the connection. */
    public FaultScriptBuilder loseReplyEvery(int changes) {
        loseReplyEvery = changes;
        return this;
    }

    /** Refuses every call with status 429 and this time to come back, in milliseconds. */
    public FaultScriptBuilder rateLimitMs(long value) {
        rateLimitMs = value;
        return this;
    }

    /** Takes every call and never answers. */
    public FaultScriptBuilder freeze() {
        freeze = true;
        return this;
    }

    /** Sets the speed of a weight store, in percent. */
    public FaultScriptBuilder speedPercent(int value) {
        speedPercent = value;
        return this;
    }

    /** Lets every k-th load of an engine break off half way. */
    public FaultScriptBuilder crashLoadEvery(int loads) {
        crashLoadEvery = loads;
        return this;
    }

    /** Keeps running answers of an engine from growing. */
    public FaultScriptBuilder stallStreams() {
        stallStreams = true;
        return this;
    }

    /** Lets an engine cut every k-th streaming connection half way. */
    public FaultScriptBuilder cutStreamEvery(int streams) {
        cutStreamEvery = streams;
        return this;
    }

    /** Returns the script. */
    public FaultScript build() {
        return new FaultScript(
                slowMs,
                slowJitterMs,
                seed,
                down,
                failEvery,
                failStatus,
                loseReplyEvery,
                rateLimitMs,
                freeze,
                speedPercent,
                crashLoadEvery,
                stallStreams,
                cutStreamEvery);
    }
}
