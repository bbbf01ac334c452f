package org.hawthornglade.gateway.exchange;

/** What a call has taken of its team's quota. */
final class QuotaHold {
    /** The hold of a call whose team has no quota. */
    static final QuotaHold NONE = new QuotaHold(() -> {});

    private final Runnable refund;
    private boolean refunded;

    QuotaHold(Runnable refund) {
        this.refund = refund;
    }

    /** Gives the units back, since the call has not reached an endpoint; has no effect the second time. */
    void refund() {
        if (!refunded) {
            refunded = true;
            refund.run();
        }
    }
}
