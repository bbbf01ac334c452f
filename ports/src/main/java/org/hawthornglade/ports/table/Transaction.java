package org.hawthornglade.ports.table;

import java.util.List;

/**
 * Writes that all take effect, or none.
 *
 * @param conditions what must be true
 * @param writes what to write then
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    /** Copies the lists. */
    public Transaction {
        conditions = conditions == null ? List.of() : List.copyOf(conditions);
        writes = writes == null ? List.of() : List.copyOf(writes);
    }
}
