package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.TransactionOutcome;

/** A table service whose calls fail as a supplier of faults prescribes. */
public final class FaultyTable implements TableService {
    /** The fault of one call. */
    public enum Fault {
        NONE,
        DOWN,
        LOST_BEFORE,
        LOST_AFTER,
        /** The call takes effect only when {@link #deliverDelayed} is called; the caller gets an unknown outcome. */
        LATE
    }

    private final TableService delegate;
    private final ArrayDeque<Transaction> delayed = new ArrayDeque<>();
    private Supplier<Fault> faults = () -> Fault.NONE;
    private int transactions;

    public FaultyTable(TableService table) {
        this.delegate = table;
    }

    public void setFaults(Supplier<Fault> source) {
        faults = source;
    }

    /** Sets the faults of the next calls, reads and transactions alike. */
    public void queueFaults(Fault... next) {
        ArrayDeque<Fault> queue = new ArrayDeque<>(List.of(next));
        faults = () -> queue.isEmpty() ? Fault.NONE : queue.poll();
    }

    public int transactions() {
        return transactions;
    }

    public void deliverDelayed() {
        while (!delayed.isEmpty()) {
            delegate.transact(delayed.poll());
        }
    }

    @Override
    public Either<Failure, Optional<Row>> read(String name, String key) {
        return faults.get() == Fault.NONE ? delegate.read(name, key) : down();
    }

    @Override
    public Either<Failure, List<Row>> scan(String name, String keyPrefix) {
        return faults.get() == Fault.NONE ? delegate.scan(name, keyPrefix) : down();
    }

    @Override
    public Either<Failure, TransactionOutcome> transact(Transaction transaction) {
        transactions++;
        return switch (faults.get()) {
            case NONE -> delegate.transact(transaction);
            case DOWN -> down();
            case LOST_BEFORE -> lost();
            case LOST_AFTER -> delegate.transact(transaction).flatMap(outcome -> lost());
            case LATE -> {
                delayed.add(transaction);
                yield lost();
            }
        };
    }

    private static <T> Either<Failure, T> down() {
        return Either.left(Failure.retryAfter(ResultCode.PLATFORM_UNAVAILABLE, "down", 700));
    }

    private static <T> Either<Failure, T> lost() {
        return Either.left(Failure.of(ResultCode.PLATFORM_OUTCOME_UNKNOWN, "lost"));
    }
}
