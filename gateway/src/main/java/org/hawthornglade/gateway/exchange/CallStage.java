package org.hawthornglade.gateway.exchange;

/** How far an open call has come. */
enum CallStage {
    /** No endpoint has the call. */
    WAITING,
    /** An endpoint has the call, or a connection to one is being opened; nothing of the response was passed on. */
    SENT,
    /** A part of the response was passed on. */
    BEGUN
}
