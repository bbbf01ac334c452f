package org.hawthornglade.core.replica;

/** How an engine answered an order. */
public enum OrderOutcome {
    /** It is being carried out. */
    ACCEPTED,
    /** It holds already. */
    ALREADY_DONE,
    /** Another order is under way, or more orders were taken than expected. */
    CONFLICT,
    /** A higher fencing token was seen: another leader orders now. */
    FENCED_OFF,
    /** Another instance, or another start of it, has the address. */
    WRONG_INSTANCE,
    /** The engine cannot carry it out. */
    REFUSED,
    /** No answer: it may have been taken, or may be taken later if the number of orders still matches. */
    UNKNOWN
}
