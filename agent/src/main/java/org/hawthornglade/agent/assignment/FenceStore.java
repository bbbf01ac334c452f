package org.hawthornglade.agent.assignment;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.ports.table.Condition;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.Write;

/**
 * Takes and checks the fencing number of one instance in the table service.
 *
 * <p>The row contains the process that took the number, so that a write whose reply was lost is recognised when the
 * row is read again. Calls must not be concurrent.
 */
public final class FenceStore {
    static final String TABLE = "fences";

    private static final TypeReference<Fence> FENCE = new TypeReference<>() {};
    private static final Fence NONE = new Fence(0, "");
    private static final long RETRY_MS = 500;

    private final TableService table;
    private final InstanceId instance;
    private final String holder;

    /**
     * A fencing number and the process that took it.
     *
     * @param number the number
     * @param holder a unique identifier of the process, never used by any other process
     */
    public record Fence(long number, String holder) {}

    /**
     * Creates a store for one instance's number.
     *
     * @param table the table service
     * @param instance the instance
     * @param holder a unique identifier of this process, never used by any other process
     */
    public FenceStore(TableService table, InstanceId instance, String holder) {
        this.table = table;
        this.instance = instance;
        this.holder = holder;
    }

    /**
     * Takes a number greater than a given one and than all that other processes have taken.
     *
     * @param above the number that this process holds; 0 if none
     * @return the number; left with STALE_FENCING_NUMBER if another process has taken one since {@code above}, else if
     *     the table service failed
     */
    public Either<Failure, Long> take(long above) {
        return table.read(TABLE, instance.value())
                .flatMap(row -> parse(row).flatMap(current -> takeAfter(row, current, above)));
    }

    /**
     * Reads whether this process still holds the newest number.
     *
     * @return left if the table service failed
     */
    public Either<Failure, Boolean> holdsNewest() {
        return table.read(TABLE, instance.value())
                .flatMap(FenceStore::parse)
                .map(current -> current.holder().equals(holder));
    }

    /**
     * Reads the transaction condition that this process still holds the newest number.
     *
     * @return left with STALE_FENCING_NUMBER if it does not; other failures if the table service failed
     */
    public Either<Failure, Condition> newestHeldCondition() {
        return table.read(TABLE, instance.value())
                .flatMap(row -> parse(row)
                        .flatMap(current -> row.isPresent() && current.holder().equals(holder)
                                ? Either.right(Condition.unchanged(row.get()))
                                : Either.left(Failure.of(
                                        ResultCode.STALE_FENCING_NUMBER,
                                        "another process has taken a newer fencing number"))));
    }

    private Either<Failure, Long> takeAfter(Optional<Row> row, Fence current, long above) {
        boolean held = current.holder().equals(holder);
        if (held && current.number() > above) {
            return Either.right(current.number());
        }
        if (!held && above > 0) {
            return Either.left(
                    Failure.of(ResultCode.STALE_FENCING_NUMBER, "another process has taken a newer fencing number"));
        }
        long number = current.number() + 1;
        Condition unchanged = row.map(Condition::unchanged).orElseGet(() -> Condition.absent(TABLE, instance.value()));
        Write write = Write.put(TABLE, instance.value(), PlatformJson.write(new Fence(number, holder)));
        return table.transact(new Transaction(List.of(unchanged), List.of(write)))
                .flatMap(outcome -> outcome.committed() ? Either.right(number) : Either.left(takenConcurrently()));
    }

    private static Either<Failure, Fence> parse(Optional<Row> row) {
        return row.map(found -> PlatformJson.read(found.json(), FENCE)).orElseGet(() -> Either.right(NONE));
    }

    private static Failure takenConcurrently() {
        return Failure.retryAfter(
                ResultCode.PLATFORM_REJECTED, "another process has taken a fencing number concurrently", RETRY_MS);
    }
}
