package org.hawthornglade.core.replica;

/** The outcome of an order to an engine. */
public enum OrderOutcome {
    /** The order is being carried out. */
    ACCEPTED,
    /** The ordered state already holds. */
    ALREADY_DONE,
    /** Another order is in progress, or the engine has accepted more orders than expected. */
    CONFLICT,
    /** The engine has seen a higher fencing token: another leader is in charge. */
    FENCED_OFF,
    /** The address belongs to another instance, or to another start of the instance. */
    WRONG_INSTANCE,
    /** The engine cannot carry out the order. */
    REFUSED,
    /** No answer: the order may have been accepted, or may be accepted later if the number of orders still matches. */
    UNKNOWN
}
