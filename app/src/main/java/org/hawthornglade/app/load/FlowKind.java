package org.hawthornglade.app.load;

/** What a flow sends. */
public enum FlowKind {
    /** Chat completions at the entries. */
    CHAT,
    /** The same chat completions at an engine itself, to tell the system's own share of the time. */
    DIRECT_CHAT,
    /** Calls of a plain service at the entries. */
    SERVICE
}
