package org.hawthornglade.gateway.leader;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hawthornglade.core.lease.Leadership;
import org.hawthornglade.core.lease.LeaseClaim;
import org.hawthornglade.core.lease.LeaseRow;
import org.hawthornglade.core.lease.LeaseWrite;
import org.hawthornglade.core.lease.StoredLease;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.port.LeaseStore;
import org.hawthornglade.gateway.port.LeaseWriteResult;

/** Reads and writes the lease row as {@link Leadership} requests. */
final class LeaseManager {
    private final Leadership leadership;
    private final LeaseStore store;
    private final Clock clock;
    private final Clock wallClock;
    private final EventLog log;
    private Supplier<String> quotaHolders = () -> "";
    private Consumer<String> onQuotaHoldersStored = stored -> {};
    private String lastLoggedFault = "";

    LeaseManager(Leadership leadership, LeaseStore store, Clock clock, Clock wallClock, EventLog log) {
        this.leadership = leadership;
        this.store = store;
        this.clock = clock;
        this.wallClock = wallClock;
        this.log = log;
    }

    /**
     * Sets what renewals write on the entries that may use quotas.
     *
     * @param holders returns what to write
     * @param onStored receives what the row has after a write whose outcome is known
     */
    void recordQuotaHolders(Supplier<String> holders, Consumer<String> onStored) {
        quotaHolders = holders;
        onQuotaHoldersStored = onStored;
    }

    /** Returns what the row has on the entries that may use quotas, as last read or written. */
    String quotaHolders() {
        return leadership.seen().row().map(LeaseRow::quotaHolders).orElse("");
    }

    /**
     * Reads, claims or renews the lease as needed; to be called periodically.
     *
     * @param leaderAlive returns whether the leader that this entry follows is alive
     */
    void check(BooleanSupplier leaderAlive) {
        long nowMs = clock.nowMs();
        leadership.check(nowMs, wallClock.nowMs());
        if (leadership.shouldRead(leaderAlive.getAsBoolean(), nowMs)) {
            leadership.onReadSent(nowMs);
            store.read(result -> onRead(result, leaderAlive));
            return;
        }
        leadership
                .renewal(nowMs)
                .map(write -> new LeaseWrite(write.expected(), write.row().withQuotaHolders(quotaHolders.get())))
                .ifPresent(this::write);
    }

    boolean mayOrder() {
        return leadership.mayOrder(clock.nowMs(), wallClock.nowMs());
    }

    /** Returns whether the lease is certainly valid, so that no other entry can lead. */
    boolean leaseValid() {
        return leadership.leaseValid(clock.nowMs(), wallClock.nowMs());
    }

    private void onRead(Either<Failure, StoredLease> result, BooleanSupplier leaderAlive) {
        if (result.isLeft()) {
            leadership.onReadFailed();
            logFaultChange("lease-read-failed", result.getLeft().message());
            return;
        }
        // The leader may have been found again since the read was sent.
        if (leaderAlive.getAsBoolean()) {
            leadership.onReadWhileFollowing(result.get(), clock.nowMs());
            return;
        }
        Optional<LeaseClaim> claim = leadership.onRead(result.get(), clock.nowMs());
        claim.ifPresent(this::logClaim);
        claim.map(LeaseClaim::write).ifPresent(this::write);
    }

    private void logClaim(LeaseClaim claim) {
        Optional<LeaseRow> replaced = claim.replaced().row();
        log.event("lease-claimed")
                .with("reason", claim.reason())
                .with("revision", claim.replaced().revision().number())
                .with("holder", replaced.map(LeaseRow::holder).orElse(""))
                .with("process", replaced.map(LeaseRow::nonce).orElse(""))
                .with("unchanged_ms", claim.unchangedMs())
                .write();
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
            onQuotaHoldersStored.accept(write.row().quotaHolders());
        } else if (result instanceof LeaseWriteResult.Conflict conflict) {
            leadership.onConflict(conflict.stored(), write, clock.nowMs());
            onQuotaHoldersStored.accept(quotaHolders());
        } else if (result instanceof LeaseWriteResult.Unknown unknown) {
            logFaultChange("lease-write-unknown", unknown.reason());
            leadership.onWriteOutcomeUnknown(sentAtMs, clock.nowMs());
        }
    }

    /** Handles the era of the store that a response has named. */
    void onStoreEra(StoreEra era) {
        leadership.onStoreEra(era, clock.nowMs());
    }

    /** Logs a persisting fault only when it begins and when it changes. */
    private void logFaultChange(String event, String reason) {
        String fault = event + reason;
        if (!fault.equals(lastLoggedFault)) {
            log.event(event).with("reason", reason).write();
        }
        lastLoggedFault = fault;
    }

    /** Releases the lease. */
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
