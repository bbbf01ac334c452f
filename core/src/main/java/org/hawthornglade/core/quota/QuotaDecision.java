package org.hawthornglade.core.quota;

/**
 * The decision on one request of a team with a quota.
 *
 * @param kind what happens to the request
 * @param retryAfterMs when the team has room for the request, from now, if it is refused
 */
public record QuotaDecision(Kind kind, long retryAfterMs) {
    /** What happens to a request. */
    public enum Kind {
        /** The units have been taken. */
        ADMIT,
        /** The leader is to be asked at once; the request is decided again when it answers. */
        ASK,
        /** The team has used its quota. */
        REFUSE
    }

    static final QuotaDecision ADMITTED = new QuotaDecision(Kind.ADMIT, 0);
    static final QuotaDecision ASK = new QuotaDecision(Kind.ASK, 0);

    static QuotaDecision refused(double retryAfterMs) {
        return new QuotaDecision(Kind.REFUSE, (long)
                Math.ceil(Math.max(50, Math.min(QuotaTimes.MAX_RETRY_AFTER_MS, retryAfterMs))));
    }
}
