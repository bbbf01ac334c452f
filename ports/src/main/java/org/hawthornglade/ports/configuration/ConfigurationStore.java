package org.hawthornglade.ports.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationJson;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.table.Condition;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.Write;

/**
 * Stores the confirmed configurations as one head row and immutable snapshots.
 *
 * <p>Confirming a plan is one transaction that moves the head from the plan's base to the next version. It is
 * conditional on the head's revision, so repeating it is safe.
 */
public final class ConfigurationStore {
    /** The table of the head and the snapshots. */
    public static final String TABLE = "configuration";

    private static final String SNAPSHOT_PREFIX = "snapshot/";
    private static final int RETAINED_SNAPSHOTS = 1_000;
    private static final int CONFIRM_ATTEMPTS = 3;
    private static final long OUTCOME_UNKNOWN_RETRY_AFTER_MS = 2_000;

    private final TableService table;
    private final int retainedSnapshots;

    /** Creates a store over a table service that retains a thousand snapshots. */
    public ConfigurationStore(TableService table) {
        this(table, RETAINED_SNAPSHOTS);
    }

    /** Creates a store over a table service that retains the given number of snapshots, with their plans. */
    ConfigurationStore(TableService table, int retainedSnapshots) {
        this.table = table;
        this.retainedSnapshots = retainedSnapshots;
    }

    /** Reads the head, which names the newest version; one read. */
    public Either<Failure, ConfigurationHead> head() {
        return table.read(TABLE, ConfigurationHead.key()).flatMap(ConfigurationHead::of);
    }

    /** Reads a snapshot; right and empty if it was never written or is no longer retained. */
    public Either<Failure, Optional<Configuration>> snapshot(long version) {
        return table.read(TABLE, snapshotKey(version)).flatMap(ConfigurationStore::parse);
    }

    /** Reads the newest confirmed configuration; two reads. */
    public Either<Failure, Configuration> newest() {
        return head().flatMap(this::snapshotAt);
    }

    /**
     * Reads the newest confirmed configuration if it is newer than the one that the caller has; one read if not.
     *
     * @return right and empty if there is nothing newer
     */
    public Either<Failure, Optional<Configuration>> newerThan(long version) {
        return head().flatMap(head -> head.version() <= version
                ? Either.right(Optional.<Configuration>empty())
                : snapshotAt(head).map(Optional::of));
    }

    private Either<Failure, Configuration> snapshotAt(ConfigurationHead head) {
        if (head.version() == 0) {
            return Either.right(Configuration.empty());
        }
        return snapshot(head.version())
                .flatMap(found -> found.<Either<Failure, Configuration>>map(Either::right)
                        .orElseGet(() -> Either.left(missingSnapshot(head.version()))));
    }

    /**
     * Confirms a plan, which puts its result into force.
     *
     * <p>Left: STALE_PLAN if another plan was confirmed on the same base; CONFIRM_OUTCOME_UNKNOWN if the
     * transaction's reply was lost and its effect could not be read back; or the platform's failure if nothing took
     * effect.
     *
     * @param plan the plan, as stored
     * @param nowMs the time of the confirm, in milliseconds since the Unix epoch
     */
    public Either<Failure, Confirmation> confirm(Plan plan, long nowMs) {
        return head().flatMap(head -> head.version() == plan.baseVersion()
                ? commit(plan, head, nowMs)
                : resultOf(plan).flatMap(found -> repeatedOrStale(found, head)));
    }

    private Either<Failure, Confirmation> commit(Plan plan, ConfigurationHead head, long nowMs) {
        Configuration next = plan.result().confirmedAt(nowMs);
        Transaction transaction = transaction(plan, head, next);
        for (int attempt = 0; attempt < CONFIRM_ATTEMPTS; attempt++) {
            var outcome = table.transact(transaction);
            if (outcome.isRight() && outcome.get().committed()) {
                return Either.right(new Confirmation(next, false));
            }
            if (outcome.isRight()) {
                return afterConflict(plan, attempt > 0);
            }
            if (outcome.getLeft().code() != ResultCode.PLATFORM_OUTCOME_UNKNOWN) {
                return attempt == 0 ? Either.left(outcome.getLeft()) : Either.left(outcomeUnknown());
            }
            Either<Failure, Optional<Configuration>> found = resultOf(plan);
            if (found.isRight() && found.get().isPresent()) {
                return Either.right(new Confirmation(found.get().get(), false));
            }
        }
        return Either.left(outcomeUnknown());
    }

    /** Finds out whether the conflicting head and snapshot were written by this plan or by another one. */
    private Either<Failure, Confirmation> afterConflict(Plan plan, boolean mayBeOwnWrite) {
        Either<Failure, Optional<Configuration>> found = resultOf(plan);
        if (found.isLeft()) {
            return Either.left(mayBeOwnWrite ? outcomeUnknown() : found.getLeft());
        }
        return found.get()
                .<Either<Failure, Confirmation>>map(own -> Either.right(new Confirmation(own, !mayBeOwnWrite)))
                .orElseGet(() -> head().flatMap(head -> Either.left(stalePlan(head))));
    }

    private static Either<Failure, Confirmation> repeatedOrStale(
            Optional<Configuration> found, ConfigurationHead head) {
        return found.<Either<Failure, Confirmation>>map(own -> Either.right(new Confirmation(own, true)))
                .orElseGet(() -> Either.left(stalePlan(head)));
    }

    /** Reads the configuration that a plan has created; empty if it has created none. */
    private Either<Failure, Optional<Configuration>> resultOf(Plan plan) {
        return snapshot(plan.baseVersion() + 1)
                .map(found -> found.filter(
                        configuration -> configuration.planId().equals(plan.id().value())));
    }

    private Transaction transaction(Plan plan, ConfigurationHead head, Configuration next) {
        List<Write> writes = new ArrayList<>();
        writes.add(Write.put(TABLE, snapshotKey(next.version()), ConfigurationJson.write(next)));
        writes.add(Write.put(TABLE, ConfigurationHead.key(), ConfigurationHead.json(next.version())));
        writes.add(Write.delete(PlanStore.SUMMARY_TABLE, plan.id().value()));
        writes.addAll(expiredSnapshotDeletes(next.version()));
        Condition isNew = Condition.absent(TABLE, snapshotKey(next.version()));
        return new Transaction(List.of(head.unchanged(), isNew), writes);
    }

    /** Returns deletes of the snapshot that is no longer retained and of its plan; none if it cannot be read now. */
    private List<Write> expiredSnapshotDeletes(long version) {
        long oldest = version - retainedSnapshots;
        if (oldest <= 0) {
            return List.of();
        }
        return snapshot(oldest)
                .getOrElse(Optional.empty())
                .map(old ->
                        List.of(Write.delete(TABLE, snapshotKey(oldest)), Write.delete(PlanStore.TABLE, old.planId())))
                .orElse(List.of());
    }

    private static Either<Failure, Optional<Configuration>> parse(Optional<Row> row) {
        if (row.isEmpty()) {
            return Either.right(Optional.empty());
        }
        return ConfigurationJson.read(row.get().json()).map(Optional::of);
    }

    private static String snapshotKey(long version) {
        return SNAPSHOT_PREFIX + version;
    }

    private static Failure missingSnapshot(long version) {
        return Failure.of(ResultCode.INTERNAL_ERROR, "the snapshot of version " + version + " is missing");
    }

    private static Failure stalePlan(ConfigurationHead head) {
        return Failure.of(
                ResultCode.STALE_PLAN,
                "version " + head.version() + " was confirmed meanwhile; nothing of this plan took effect");
    }

    private static Failure outcomeUnknown() {
        return Failure.retryAfter(
                ResultCode.CONFIRM_OUTCOME_UNKNOWN,
                "the table service did not report whether the confirm took effect; confirm the same plan again",
                OUTCOME_UNKNOWN_RETRY_AFTER_MS);
    }
}
