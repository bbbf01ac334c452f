package org.hawthornglade.standin.table;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.TransactionOutcome;
import org.hawthornglade.standin.fault.FaultyCalls;

/** Wraps an in-process table service and injects faults into its calls. */
public final class FaultyTableService implements TableService {
    private final TableService tables;
    private final FaultyCalls calls;

    /** Wraps a table service. */
    public FaultyTableService(TableService tables, FaultyCalls calls) {
        this.tables = tables;
        this.calls = calls;
    }

    @Override
    public Either<Failure, Optional<Row>> read(String table, String key) {
        return calls.read(() -> tables.read(table, key));
    }

    @Override
    public Either<Failure, List<Row>> scan(String table, String keyPrefix) {
        return calls.read(() -> tables.scan(table, keyPrefix));
    }

    @Override
    public Either<Failure, TransactionOutcome> transact(Transaction transaction) {
        return calls.change(() -> tables.transact(transaction));
    }
}
