package org.hawthornglade.ports.table;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** An in-memory table service that injects faults into its next calls; tests check outcomes against its rows. */
public final class FakeTable implements TableService {
    /** A fault to inject into one call. */
    public enum Fault {
        NONE,
        /** Nothing takes effect and the caller knows. */
        DOWN,
        /** Nothing takes effect and the caller does not know. */
        LOST_BEFORE,
        /** It takes effect and the caller does not know. */
        LOST_AFTER
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Deque<Fault> transactionFaults = new ArrayDeque<>();
    private final Deque<Fault> readFaults = new ArrayDeque<>();
    private final Deque<Runnable> beforeTransactions = new ArrayDeque<>();
    private long revision;
    private int transactions;

    /** Queues faults for the next transactions. */
    public void failTransactions(List<Fault> faults) {
        transactionFaults.addAll(faults);
    }

    /** Queues faults for the next reads. */
    public void failReads(List<Fault> faults) {
        readFaults.addAll(faults);
    }

    /** Runs an action just before the next transaction, such as another process's write. */
    public void beforeNextTransaction(Runnable action) {
        beforeTransactions.add(action);
    }

    /** Removes the faults that have not been injected yet. */
    public void clearFaults() {
        transactionFaults.clear();
        readFaults.clear();
    }

    public int transactions() {
        return transactions;
    }

    @Override
    public Either<Failure, Optional<Row>> read(String table, String key) {
        return nextRead().map(pass -> Optional.ofNullable(rows.get(path(table, key))));
    }

    @Override
    public Either<Failure, List<Row>> scan(String table, String keyPrefix) {
        String prefix = path(table, keyPrefix);
        return nextRead()
                .map(pass -> rows.tailMap(prefix, true).entrySet().stream()
                        .takeWhile(entry -> entry.getKey().startsWith(prefix))
                        .map(entry -> entry.getValue())
                        .toList());
    }

    @Override
    public Either<Failure, TransactionOutcome> transact(Transaction transaction) {
        transactions++;
        Runnable before = beforeTransactions.poll();
        if (before != null) {
            before.run();
        }
        Fault fault = Optional.ofNullable(transactionFaults.poll()).orElse(Fault.NONE);
        if (fault == Fault.DOWN) {
            return Either.left(Failure.retryAfter(ResultCode.PLATFORM_UNAVAILABLE, "down", 1_000));
        }
        if (fault == Fault.LOST_BEFORE) {
            return Either.left(Failure.of(ResultCode.PLATFORM_OUTCOME_UNKNOWN, "lost"));
        }
        TransactionOutcome outcome = commit(transaction);
        return fault == Fault.LOST_AFTER
                ? Either.left(Failure.of(ResultCode.PLATFORM_OUTCOME_UNKNOWN, "lost"))
                : Either.right(outcome);
    }

    private Either<Failure, Boolean> nextRead() {
        Fault fault = Optional.ofNullable(readFaults.poll()).orElse(Fault.NONE);
        return fault == Fault.NONE
                ? Either.right(true)
                : Either.left(Failure.retryAfter(ResultCode.PLATFORM_UNAVAILABLE, "down", 1_000));
    }

    private TransactionOutcome commit(Transaction transaction) {
        List<Row> conflicts = new ArrayList<>();
        for (Condition condition : transaction.conditions()) {
            Row row = rows.get(path(condition.table(), condition.key()));
            long actual = row == null ? Condition.ABSENT : row.revision();
            if (actual != condition.revision()) {
                conflicts.add(row == null ? new Row(condition.table(), condition.key(), 0, null) : row);
            }
        }
        if (!conflicts.isEmpty()) {
            return new TransactionOutcome(false, conflicts);
        }
        revision++;
        for (Write write : transaction.writes()) {
            if (write.json() == null) {
                rows.remove(path(write.table(), write.key()));
            } else {
                rows.put(path(write.table(), write.key()), new Row(write.table(), write.key(), revision, write.json()));
            }
        }
        return new TransactionOutcome(true, List.of());
    }

    private static String path(String table, String key) {
        return table + "\n" + key;
    }
}
