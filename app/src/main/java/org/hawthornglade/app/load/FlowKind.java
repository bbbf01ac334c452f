package org.hawthornglade.app.load;

/** Kind of requests that a flow sends. */
public enum FlowKind {
    /** Chat completions to the entries. */
    CHAT,
    /** Chat completions directly to an engine, as the baseline for the latency that the system adds. */
    DIRECT_CHAT,
    /** Calls of a plain service through the entries. */
    SERVICE
}
