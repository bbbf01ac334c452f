package org.hawthornglade.core.idle;

import org.hawthornglade.core.id.ModelName;

/** Unloads an idle model a fixed time after it became idle; the time may be zero or unlimited. */
public final class FixedKeepAlive implements IdlePolicy {
    private final long keepAliveMs;

    private FixedKeepAlive(long keepAliveMs) {
        this.keepAliveMs = keepAliveMs;
    }

    /** Returns a policy that unloads a model this many milliseconds after it became idle. */
    public static FixedKeepAlive ofMs(long keepAliveMs) {
        return new FixedKeepAlive(keepAliveMs);
    }

    /** Returns a policy that unloads a model as soon as it is idle. */
    public static FixedKeepAlive immediateUnload() {
        return new FixedKeepAlive(0);
    }

    /** Returns a policy that never unloads idle models; they may still be evicted for others that need their memory. */
    public static FixedKeepAlive neverUnload() {
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
