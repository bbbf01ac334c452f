package org.hawthornglade.standin.fault;

/** Builds a fault script; faults that are not set are off. */
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

    /** Delays every call, in milliseconds. */
    public FaultScriptBuilder slowMs(long value) {
        slowMs = value;
        return this;
    }

    /** Adds a random delay up to a maximum in milliseconds, drawn with a seed. */
    public FaultScriptBuilder slowJitterMs(long value, long randomSeed) {
        slowJitterMs = value;
        seed = randomSeed;
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

    /** Executes every k-th change, then closes the connection without a response. */
    public FaultScriptBuilder loseReplyEvery(int changes) {
        loseReplyEvery = changes;
        return this;
    }

    /** Refuses every call with status 429 and a retry-after time in milliseconds. */
    public FaultScriptBuilder rateLimitMs(long value) {
        rateLimitMs = value;
        return this;
    }

    /** Accepts every call and never answers. */
    public FaultScriptBuilder freeze() {
        freeze = true;
        return this;
    }

    /** Sets the speed of a weight store, in percent. */
    public FaultScriptBuilder speedPercent(int value) {
        speedPercent = value;
        return this;
    }

    /** Fails every k-th load of an engine half-way. */
    public FaultScriptBuilder crashLoadEvery(int loads) {
        crashLoadEvery = loads;
        return this;
    }

    /** Pauses the generation of running answers of an engine. */
    public FaultScriptBuilder stallStreams() {
        stallStreams = true;
        return this;
    }

    /** Closes every k-th streaming connection of an engine part-way. */
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
