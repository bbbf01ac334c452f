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
 * Takes and settles claims in the table service, each group of claims in one transaction.
 *
 * <p>A claim whose row is held by another request is removed from the group, and the rest is tried again. Calls block.
 */
final class ClaimTable {
    /** The name of the table, which has one row for each claim. */
    static final String TABLE = "claims";

    private static final int MAX_ROUNDS = 8;
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private final TableService table;
    private final Clock clock;

    ClaimTable(TableService table, Clock clock) {
        this.table = table;
        this.clock = clock;
    }

    /** Claims the calls of a group; the decisions are in the order of the requests. */
    List<ClaimDecision> claim(List<ClaimRequest> requests) {
        Group group = new Group(requests);
        for (int round = 0; round < MAX_ROUNDS && !group.isDecided(); round++) {
            commit(group, group.firstOfEachRow());
        }
        group.refuseAll(
                claimNotPossible(Failure.of(ResultCode.PLATFORM_UNAVAILABLE, "the claim rows change too often")),
                false);
        return requests.stream().map(group.decisions::get).toList();
    }

    /**
     * Records the outcomes of calls; a group has at most one settlement per row.
     *
     * @return right if all are recorded or no longer need to be; left if all should be tried again
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
                        : Either.left(Failure.of(
                                ResultCode.PLATFORM_UNAVAILABLE, "a claim row changed between read and write")));
    }

    /** Returns the condition for writing a settlement; empty if the settlement no longer has an effect. */
    private static Optional<Condition> condition(Settlement settlement, Optional<Row> row) {
        if (row.isEmpty()) {
            // Writing the row makes a claim fail whose transaction was sent but is not yet applied.
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

    private void commit(Group group, List<ClaimRequest> requests) {
        Either<Failure, TransactionOutcome> outcome = table.transact(transaction(group, requests));
        if (outcome.isRight()) {
            applyOutcome(group, requests, outcome.get());
            return;
        }
        ResultCode code = outcome.getLeft().code();
        if (code == ResultCode.PLATFORM_OUTCOME_UNKNOWN) {
            readBack(group, requests, outcome.getLeft());
        } else if (code == ResultCode.PLATFORM_REJECTED && requests.size() > 1) {
            // One rejected row must not fail the other claims of the group.
            requests.forEach(request -> commit(group, List.of(request)));
        } else {
            requests.forEach(request ->
                    group.decide(request, ClaimDecision.refused(claimNotPossible(outcome.getLeft()), false)));
        }
    }

    private Transaction transaction(Group group, List<ClaimRequest> requests) {
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        for (ClaimRequest request : requests) {
            conditions.add(group.condition(request));
            writes.add(Write.put(TABLE, request.key().rowKey(), ClaimJson.encodeClaimed(request, clock.nowMs())));
        }
        return new Transaction(conditions, writes);
    }

    private static void applyOutcome(Group group, List<ClaimRequest> requests, TransactionOutcome outcome) {
        if (outcome.committed()) {
            requests.forEach(request -> group.decide(request, ClaimDecision.of(new ClaimResult.Taken())));
            return;
        }
        outcome.conflicts().forEach(group::observeRow);
    }

    /** Reads the rows of a transaction whose reply was lost, to find out whether it was committed. */
    private void readBack(Group group, List<ClaimRequest> requests, Failure lost) {
        boolean readable = true;
        for (ClaimRequest request : requests) {
            Optional<Row> row = Optional.empty();
            if (readable) {
                Either<Failure, Optional<Row>> read =
                        table.read(TABLE, request.key().rowKey());
                readable = read.isRight();
                row = read.getOrElse(Optional.empty());
            }
            if (row.isPresent()) {
                group.observeRow(row.get());
            } else {
                // A missing row does not prove that the transaction will not still be applied.
                group.decide(request, ClaimDecision.refused(claimNotPossible(lost), true));
            }
        }
    }

    private static Failure claimNotPossible(Failure cause) {
        return Failure.retryAfter(
                ResultCode.CLAIM_NOT_POSSIBLE,
                "the call could not be claimed: " + cause.message(),
                Math.max(MIN_RETRY_AFTER_MS, cause.retryAfterMs()));
    }

    /** The claims of a group, with those that are not decided yet by row. */
    private static final class Group {
        private final Map<String, ArrayDeque<ClaimRequest>> undecided = new LinkedHashMap<>();
        private final Map<String, Condition> conditions = new HashMap<>();
        private final Map<ClaimRequest, ClaimDecision> decisions = new HashMap<>();

        Group(List<ClaimRequest> requests) {
            for (ClaimRequest request : requests) {
                String key = request.key().rowKey();
                undecided.computeIfAbsent(key, row -> new ArrayDeque<>()).add(request);
                conditions.put(key, Condition.absent(TABLE, key));
            }
        }

        boolean isDecided() {
            return undecided.isEmpty();
        }

        List<ClaimRequest> firstOfEachRow() {
            return undecided.values().stream().map(ArrayDeque::getFirst).toList();
        }

        Condition condition(ClaimRequest request) {
            return conditions.get(request.key().rowKey());
        }

        void decide(ClaimRequest request, ClaimDecision decision) {
            decisions.put(request, decision);
            ArrayDeque<ClaimRequest> row = undecided.get(request.key().rowKey());
            row.remove(request);
            if (row.isEmpty()) {
                undecided.remove(request.key().rowKey());
            }
        }

        void refuseAll(Failure failure, boolean mayHoldRow) {
            List<ClaimRequest> remaining =
                    undecided.values().stream().flatMap(ArrayDeque::stream).toList();
            remaining.forEach(request -> decide(request, ClaimDecision.refused(failure, mayHoldRow)));
        }

        /** Records the current state of a row, and decides the requests whose result follows from it. */
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
            for (ClaimRequest request : List.copyOf(waiting)) {
                decisionFor(request, held).ifPresent(decision -> decide(request, decision));
            }
        }

        /** Returns the decision that follows from a row; empty if the row may be claimed. */
        private static Optional<ClaimDecision> decisionFor(ClaimRequest request, Optional<Claim> held) {
            if (held.isEmpty()) {
                return Optional.of(ClaimDecision.of(unreadable(request)));
            }
            Claim claim = held.get();
            boolean ownClaim = claim.request().equals(request.request().value());
            if (ownClaim && claim.state() == Claim.State.CLAIMED) {
                return Optional.of(ClaimDecision.of(new ClaimResult.Taken()));
            }
            if (!claim.fingerprint().equals(request.key().fingerprint())) {
                return Optional.of(ClaimDecision.refused(
                        Failure.of(ResultCode.IDEMPOTENCY_KEY_REUSED, "this idempotency key was used for another call"),
                        false));
            }
            if (claim.state() == Claim.State.NOT_RUN && !ownClaim) {
                return Optional.empty();
            }
            return Optional.of(ClaimDecision.of(new ClaimResult.HeldByOther(claim)));
        }

        private static ClaimResult unreadable(ClaimRequest request) {
            return new ClaimResult.HeldByOther(
                    new Claim(Claim.State.UNKNOWN, "", request.key().fingerprint(), 0, 0, 0, null, null));
        }
    }
}
