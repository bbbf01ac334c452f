package org.hawthornglade.ports.table;

import java.util.List;

/**
 * The table service's response to a transaction.
 *
 * @param committed whether the writes took effect
 * @param conflicts the rows whose conditions did not hold, as they are now; a row that is absent has revision 0 and a
 *     null value; empty if committed
 */
public record TransactionOutcome(boolean committed, List<Row> conflicts) {
    /** Copies the list. */
    public TransactionOutcome {
        conflicts = conflicts == null ? List.of() : List.copyOf(conflicts);
    }
}
