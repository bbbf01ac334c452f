package org.hawthornglade.core.idle;

/**
 * A plan for when to unload an idle model and when to pre-warm it.
 *
 * @param unloadAtMs when to unload the model, in milliseconds; {@link #NEVER} to keep it loaded
 * @param prewarmAtMs when to start loading it again ahead of a request, in milliseconds; {@link #NEVER} for no
 *     pre-warming
 * @param prewarmUntilMs when to unload it again if no request arrived after pre-warming, in milliseconds
 */
public record IdlePlan(long unloadAtMs, long prewarmAtMs, long prewarmUntilMs) {
    /** A time that is never reached. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Returns a plan that unloads the model at a time and loads it again only on a request. */
    public static IdlePlan unloadAt(long atMs) {
        return new IdlePlan(atMs, NEVER, NEVER);
    }

    /** Returns a plan that keeps the model loaded. */
    public static IdlePlan keep() {
        return new IdlePlan(NEVER, NEVER, NEVER);
    }

    /** Returns whether the model should be loaded at a time if no request has arrived until then. */
    public boolean loadedAt(long nowMs) {
        return nowMs < unloadAtMs || (nowMs >= prewarmAtMs && nowMs < prewarmUntilMs);
    }
}
