package org.hawthornglade.gateway.leader;

import io.vavr.control.Either;
import java.util.Optional;
import org.hawthornglade.core.lease.Leadership;
import org.hawthornglade.core.lease.LeaseWrite;
import org.hawthornglade.core.lease.StoredLease;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.port.LeaseStore;
import org.hawthornglade.gateway.port.LeaseWriteResult;

/** Makes the store calls that the leadership asks for. */
final class LeaseManager {
    private final Leadership leadership;
    private final LeaseStore store;
    private final Clock clock;
    private final Clock wallClock;
    private final EventLog log;
    private String lastLoggedFault = "";

    LeaseManager(Leadership leadership, LeaseStore store, Clock clock, Clock wallClock, EventLog log) {
        this.leadership = leadership;
        this.store = store;
        this.clock = clock;
        this.wallClock = wallClock;
        this.log = log;
    }

    /** Reads, claims or renews as needed; call it often. */
    void check(boolean leaderHeard, Optional<String> endedLeader) {
        long nowMs = clock.nowMs();
        leadership.check(nowMs, wallClock.nowMs());
        if (leadership.shouldRead(leaderHeard, nowMs)) {
            leadership.onReadSent(nowMs);
            store.read(answer -> onRead(answer, endedLeader));
            return;
        }
        leadership.renewal(nowMs).ifPresent(this::write);
    }

    boolean mayOrder() {
        return leadership.mayOrder(clock.nowMs(), wallClock.nowMs());
    }

    /** Returns whether the lease holds for sure, so that no other entry can lead. */
    boolean leaseHolds() {
        return leadership.leaseValid(clock.nowMs(), wallClock.nowMs());
    }

    private void onRead(Either<Failure, StoredLease> answer, Optional<String> endedLeader) {
        if (answer.isLeft()) {
            leadership.onReadFailed();
            logFaultChange("lease-read-failed", answer.getLeft().message());
            return;
        }
        Optional<LeaseWrite> claim = leadership.onRead(answer.get(), endedLeader, clock.nowMs());
        claim.ifPresent(this::write);
    }

    private void write(LeaseWrite write) {
        long sentAtMs = clock.nowMs();
        long wallSentMs = wallClock.nowMs();
        store.write(write, result -> onResult(write, result, sentAtMs, wallSentMs));
    }

    private void onResult(LeaseWrite write, LeaseWriteResult result, long sentAtMs, long wallSentMs) {
        if (result instanceof LeaseWriteResult.Written written) {
            lastLoggedFault = "";
            leadership.onWritten(write, written.revision(), sentAtMs, wallSentMs);
        } else if (result instanceof LeaseWriteResult.Conflict conflict) {
            leadership.onConflict(conflict.stored(), write, clock.nowMs());
        } else if (result instanceof LeaseWriteResult.Unknown unknown) {
            logFaultChange("lease-write-unknown", unknown.reason());
            leadership.onWriteOutcomeUnknown(sentAtMs, clock.nowMs());
        }
    }

    /** A fault that lasts is logged when it begins and when it becomes another one. */
    private void logFaultChange(String event, String reason) {
        String fault = event + reason;
        if (!fault.equals(lastLoggedFault)) {
            log.event(event).with("reason", reason).write();
        }
        lastLoggedFault = fault;
    }

    /** Gives the lease up. */
    void resign() {
        leadership
                .resign()
                .ifPresent(write -> store.write(
                        write,
                        result -> log.event("lease-given-up")
                                .with("written", result instanceof LeaseWriteResult.Written)
                                .write()));
    }
}
