package org.hawthornglade.ports.table;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.result.Failure;

/**
 * The platform's transactional table service.
 *
 * <p>Calls block. The left side carries PLATFORM_UNAVAILABLE (nothing took effect), PLATFORM_RATE_LIMITED (nothing took
 * effect; retry after the given time), PLATFORM_REJECTED (the call was invalid) or, for a transaction only,
 * PLATFORM_OUTCOME_UNKNOWN (it may have taken effect: read back).
 */
public interface TableService {
    /** Reads one row; right and empty if it is absent. */
    Either<Failure, Optional<Row>> read(String table, String key);

    /** Reads all rows whose key begins with a prefix, by ascending key. */
    Either<Failure, List<Row>> scan(String table, String keyPrefix);

    /** Commits the writes if all conditions hold. */
    Either<Failure, TransactionOutcome> transact(Transaction transaction);
}
