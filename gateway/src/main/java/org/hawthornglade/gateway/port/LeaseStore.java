package org.hawthornglade.gateway.port;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.hawthornglade.core.lease.LeaseWrite;
import org.hawthornglade.core.lease.StoredLease;
import org.hawthornglade.core.result.Failure;

/** Stores the lease row of the placement leader. */
public interface LeaseStore {
    /** Reads the row. */
    void read(Consumer<Either<Failure, StoredLease>> done);

    /** Writes the row if it still has the expected revision. */
    void write(LeaseWrite write, Consumer<LeaseWriteResult> done);
}
