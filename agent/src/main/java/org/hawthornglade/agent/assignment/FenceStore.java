package org.hawthornglade.agent.assignment;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.platform.table.Condition;
import org.hawthornglade.platform.table.Row;
import org.hawthornglade.platform.table.TableService;
import org.hawthornglade.platform.table.Transaction;
import org.hawthornglade.platform.table.Write;

/** The fencing number of one instance in the table service. */
public final class FenceStore {
    private static final String TABLE = "fences";
    private static final long RETRY_MS = 500;

    private final TableService table;
    private final InstanceId instance;

    /** Creates a store for one instance's number. */
    public FenceStore(TableService table, InstanceId instance) {
        this.table = table;
        this.instance = instance;
    }

    /**
     * Takes a new number, higher than any taken before; a number whose reply was lost is skipped.
     *
     * @return the number; left if the table service failed or another process of the instance came first
     */
    public Either<Failure, Long> take() {
        return table.read(TABLE, instance.value()).flatMap(this::takeAfter);
    }

    /** Reads the highest number taken; 0 if there is none. */
    public Either<Failure, Long> current() {
        return table.read(TABLE, instance.value()).map(FenceStore::numberOf);
    }

    private Either<Failure, Long> takeAfter(Optional<Row> row) {
        long number = numberOf(row) + 1;
        Condition unchanged = row.map(Condition::unchanged).orElseGet(() -> Condition.absent(TABLE, instance.value()));
        Write write = Write.put(TABLE, instance.value(), Long.toString(number));
        return table.transact(new Transaction(List.of(unchanged), List.of(write)))
                .flatMap(outcome -> outcome.committed() ? Either.right(number) : Either.left(overtaken()));
    }

    private static long numberOf(Optional<Row> row) {
        return row.map(found -> Long.parseLong(found.json())).orElse(0L);
    }

    private static Failure overtaken() {
        return Failure.retryAfter(ResultCode.STALE_FENCING_NUMBER, "another process took a number first", RETRY_MS);
    }
}
