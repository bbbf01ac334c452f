package org.hawthornglade.core.idle;

/**
 * What to do with a model that runs no request.
 *
 * @param unloadAtMs when to unload it, in milliseconds; {@link #NEVER} to keep it
 * @param prewarmAtMs when to have begun loading it again ahead of a request, in milliseconds; {@link #NEVER} for not
 * @param prewarmUntilMs when to unload it again if no request came after pre-warming, in milliseconds
 */
public record IdlePlan(long unloadAtMs, long prewarmAtMs, long prewarmUntilMs) {
    /** A time that does not come. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Unloads at a time and loads again only on a request. */
    public static IdlePlan unloadAt(long atMs) {
        return new IdlePlan(atMs, NEVER, NEVER);
    }

    /** Keeps the model loaded. */
    public static IdlePlan keep() {
        return new IdlePlan(NEVER, NEVER, NEVER);
    }

    /** Returns whether the model should be loaded at a time while no request comes. */
    public boolean loadedAt(long nowMs) {
        return nowMs < unloadAtMs || (nowMs >= prewarmAtMs && nowMs < prewarmUntilMs);
    }
}
