package org.hawthornglade.core.idle;

import org.hawthornglade.core.id.ModelName;

/** Keeps every model loaded for the same time after its last request. */
public final class FixedKeepAlive implements IdlePolicy {
    private final long keepAliveMs;

    private FixedKeepAlive(long keepAliveMs) {
        this.keepAliveMs = keepAliveMs;
    }

    /** Unloads this long after a model became idle, in milliseconds. */
    public static FixedKeepAlive ofMs(long keepAliveMs) {
        return new FixedKeepAlive(keepAliveMs);
    }

    /** Unloads as soon as a model is idle. */
    public static FixedKeepAlive immediateUnload() {
        return new FixedKeepAlive(0);
    }

    /** Never unloads for idleness; memory that others need is still taken from idle models. */
    public static FixedKeepAlive never() {
        return new FixedKeepAlive(IdlePlan.NEVER);
    }

    @Override
    public void onRequest(ModelName model, long nowMs) {}

    @Override
    public IdlePlan plan(ModelName model, long idleSinceMs, ReplicaCost cost) {
        if (keepAliveMs == IdlePlan.NEVER) {
            return IdlePlan.keep();
        }
        return IdlePlan.unloadAt(idleSinceMs + keepAliveMs);
    }
}
