package org.hawthornglade.core.team;

/** The unit in which a quota is counted. */
public enum QuotaUnit {
    /** Each request counts as one. */
    REQUEST,
    /** A request counts as its prompt tokens and its maximum number of output tokens. */
    TOKEN
}
