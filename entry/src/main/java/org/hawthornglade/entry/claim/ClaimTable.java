package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.ports.table.Condition;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.TransactionOutcome;
import org.hawthornglade.ports.table.Write;

/**
 * Takes and settles claims in the table service, a group in one transaction.
 *
 * <p>A row that is held by another request leaves the group and the others are tried again. Calls block.
 */
final class ClaimTable {
    /** The table that holds a row for each claim. */
    static final String TABLE = "claims";

    private static final int MAX_ROUNDS = 8;
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private final TableService table;
    private final Clock clock;

    ClaimTable(TableService table, Clock clock) {
        this.table = table;
        this.clock = clock;
    }

    /** Claims for each request of a group; the verdicts are in the order of the tries. */
    List<ClaimDecision> claim(List<ClaimRequest> tries) {
        Group group = new Group(tries);
        for (int round = 0; round < MAX_ROUNDS && !group.isDecided(); round++) {
            commit(group, group.firstOfEachRow());
        }
        group.refuseAll(claimNotPossible(Failure.of(ResultCode.PLATFORM_UNAVAILABLE, "the rows change too often")), false);
        return tries.stream().map(group.decisions::get).toList();
    }

    /**
     * Records how calls ended; each row at most once in a group.
     *
     * @return right if all are recorded or need not be; left if all should be tried again
     */
    Either<Failure, Boolean> settle(List<Settlement> settlements) {
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        for (Settlement settlement : settlements) {
            String key = settlement.key().rowKey();
            Either<Failure, Optional<Row>> row = table.read(TABLE, key);
            if (row.isLeft()) {
                return Either.left(row.getLeft());
            }
            condition(settlement, row.get()).ifPresent(condition -> {
                conditions.add(condition);
                writes.add(Write.put(TABLE, key, ClaimJson.encodeSettled(settlement, clock.nowMs())));
            });
        }
        if (writes.isEmpty()) {
            return Either.right(true);
        }
        return table.transact(new Transaction(conditions, writes))
                .flatMap(outcome -> outcome.committed()
                        ? Either.right(true)
                        : Either.left(Failure.of(ResultCode.PLATFORM_UNAVAILABLE, "a row changed meanwhile")));
    }

    /** Returns on what condition a settlement is written; empty if it has no effect any more. */
    private static Optional<Condition> condition(Settlement settlement, Optional<Row> row) {
        if (row.isEmpty()) {
            // The row makes a claim that was sent but not yet written fail.
            return settlement.state() == Claim.State.NOT_RUN
                    ? Optional.of(Condition.absent(TABLE, settlement.key().rowKey()))
                    : Optional.empty();
        }
        boolean open = ClaimJson.decode(row.get())
                .map(claim -> claim.state() == Claim.State.CLAIMED
                        && claim.request().equals(settlement.request().value()))
                .orElse(false);
        return open ? Optional.of(Condition.unchanged(row.get())) : Optional.empty();
    }

    private void commit(Group group, List<ClaimRequest> tries) {
        Either<Failure, TransactionOutcome> outcome = table.transact(transaction(group, tries));
        if (outcome.isRight()) {
            applyOutcome(group, tries, outcome.get());
            return;
        }
        ResultCode code = outcome.getLeft().code();
        if (code == ResultCode.PLATFORM_OUTCOME_UNKNOWN) {
            readBack(group, tries, outcome.getLeft());
        } else if (code == ResultCode.PLATFORM_REJECTED && tries.size() > 1) {
            // One bad row must not fail its neighbours.
            tries.forEach(one -> commit(group, List.of(one)));
        } else {
            tries.forEach(one -> group.decide(one, ClaimDecision.refused(claimNotPossible(outcome.getLeft()), false)));
        }
    }

    private Transaction transaction(Group group, List<ClaimRequest> tries) {
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        for (ClaimRequest one : tries) {
            conditions.add(group.condition(one));
            writes.add(Write.put(TABLE, one.key().rowKey(), ClaimJson.encodeClaimed(one, clock.nowMs())));
        }
        return new Transaction(conditions, writes);
    }

    private static void applyOutcome(Group group, List<ClaimRequest> tries, TransactionOutcome outcome) {
        if (outcome.committed()) {
            tries.forEach(one -> group.decide(one, ClaimDecision.of(new ClaimResult.Taken())));
            return;
        }
        outcome.conflicts().forEach(group::observeRow);
    }

    /** Finds out what became of a transaction whose reply was lost. */
    private void readBack(Group group, List<ClaimRequest> tries, Failure lost) {
        boolean readable = true;
        for (ClaimRequest one : tries) {
            Optional<Row> row = Optional.empty();
            if (readable) {
                Either<Failure, Optional<Row>> read =
                        table.read(TABLE, one.key().rowKey());
                readable = read.isRight();
                row = read.getOrElse(Optional.empty());
            }
            if (row.isPresent()) {
                group.observeRow(row.get());
            } else {
                // Not there yet is not proof that it will never be there.
                group.decide(one, ClaimDecision.refused(claimNotPossible(lost), true));
            }
        }
    }

    private static Failure claimNotPossible(Failure cause) {
        return Failure.retryAfter(
                ResultCode.CLAIM_NOT_POSSIBLE,
                "the call could not be claimed: " + cause.message(),
                Math.max(MIN_RETRY_AFTER_MS, cause.retryAfterMs()));
    }

    /** The tries of a group that are not decided yet, by row. */
    private static final class Group {
        private final Map<String, ArrayDeque<ClaimRequest>> undecided = new LinkedHashMap<>();
        private final Map<String, Condition> conditions = new HashMap<>();
        private final Map<ClaimRequest, ClaimDecision> decisions = new HashMap<>();

        Group(List<ClaimRequest> tries) {
            for (ClaimRequest one : tries) {
                String key = one.key().rowKey();
                undecided.computeIfAbsent(key, row -> new ArrayDeque<>()).add(one);
                conditions.put(key, Condition.absent(TABLE, key));
            }
        }

        boolean isDecided() {
            return undecided.isEmpty();
        }

        List<ClaimRequest> firstOfEachRow() {
            return undecided.values().stream().map(ArrayDeque::getFirst).toList();
        }

        Condition condition(ClaimRequest one) {
            return conditions.get(one.key().rowKey());
        }

        void decide(ClaimRequest one, ClaimDecision verdict) {
            decisions.put(one, verdict);
            ArrayDeque<ClaimRequest> row = undecided.get(one.key().rowKey());
            row.remove(one);
            if (row.isEmpty()) {
                undecided.remove(one.key().rowKey());
            }
        }

        void refuseAll(Failure failure, boolean mayBeHeld) {
            List<ClaimRequest> left =
                    undecided.values().stream().flatMap(ArrayDeque::stream).toList();
            left.forEach(one -> decide(one, ClaimDecision.refused(failure, mayBeHeld)));
        }

        /** Takes note of a row as it is, and decides the tries that it decides. */
        void observeRow(Row row) {
            ArrayDeque<ClaimRequest> waiting = undecided.get(row.key());
            if (waiting == null) {
                return;
            }
            conditions.put(
                    row.key(), row.json() == null ? Condition.absent(TABLE, row.key()) : Condition.unchanged(row));
            if (row.json() == null) {
                return;
            }
            Optional<Claim> held = ClaimJson.decode(row);
            for (ClaimRequest one : List.copyOf(waiting)) {
                decisionFor(one, held).ifPresent(verdict -> decide(one, verdict));
            }
        }

        /** Returns what a row says of a try; empty if the row may be claimed. */
        private static Optional<ClaimDecision> decisionFor(ClaimRequest one, Optional<Claim> held) {
            if (held.isEmpty()) {
                return Optional.of(ClaimDecision.of(unreadable(one)));
            }
            Claim claim = held.get();
            boolean mine = claim.request().equals(one.request().value());
            if (mine && claim.state() == Claim.State.CLAIMED) {
                return Optional.of(ClaimDecision.of(new ClaimResult.Taken()));
            }
            if (!claim.fingerprint().equals(one.key().fingerprint())) {
                return Optional.of(ClaimDecision.refused(
                        Failure.of(ResultCode.IDEMPOTENCY_KEY_REUSED, "this idempotency key was used for another call"),
                        false));
            }
            if (claim.state() == Claim.State.NOT_RUN && !mine) {
                return Optional.empty();
            }
            return Optional.of(ClaimDecision.of(new ClaimResult.HeldByOther(claim)));
        }

        private static ClaimResult unreadable(ClaimRequest one) {
            return new ClaimResult.HeldByOther(
                    new Claim(Claim.State.UNKNOWN, "", one.key().fingerprint(), 0, 0, 0, null, null));
        }
    }
}
