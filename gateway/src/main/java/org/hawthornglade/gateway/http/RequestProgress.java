package org.hawthornglade.gateway.http;

import java.util.Optional;
import org.hawthornglade.core.caller.TransferRate;

/** How long the request that a connection receives has been on its way, without the time in which it was not read. */
final class RequestProgress {
    private Optional<TransferRate> rate = Optional.empty();
    private long startedMs;
    private long heldBackAtMs;

    /** Records bytes of a request; the first ones start it. */
    void onBytes(long nowMs) {
        if (startedMs == 0) {
            startedMs = nowMs;
        }
    }

    /**
     * Records that the head is complete.
     *
     * @param bodyRate measures the body
     */
    void onHead(TransferRate bodyRate) {
        rate = Optional.of(bodyRate);
    }

    void onBody(int bytes, long nowMs) {
        rate.ifPresent(measured -> measured.onReceived(bytes, nowMs));
    }

    /** Stops the time, because the connection is not read; returns whether it was running. */
    boolean holdBack(long nowMs) {
        if (heldBack()) {
            return false;
        }
        heldBackAtMs = nowMs;
        return true;
    }

    /** Lets the time go on; the caller could not send meanwhile. */
    void readOn(long nowMs) {
        if (!heldBack()) {
            return;
        }
        startedMs += nowMs - heldBackAtMs;
        heldBackAtMs = 0;
        rate.ifPresent(measured -> measured.startWindow(nowMs));
    }

    /** Lets the time go on for the rest of a refused request, with the time in which it was not read. */
    void stopHoldingBack() {
        heldBackAtMs = 0;
    }

    /** Records that the request is complete or refused. */
    void onEnd() {
        startedMs = 0;
        heldBackAtMs = 0;
    }

    boolean started() {
        return startedMs != 0;
    }

    boolean heldBack() {
        return heldBackAtMs != 0;
    }

    long ageMs(long nowMs) {
        return nowMs - startedMs;
    }

    /** Returns whether the body arrives too slowly while it is read. */
    boolean tooSlow(long nowMs) {
        return !heldBack() && rate.filter(measured -> measured.tooSlow(nowMs)).isPresent();
    }
}
