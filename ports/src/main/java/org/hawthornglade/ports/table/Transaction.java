package org.hawthornglade.ports.table;

import java.util.List;

/**
 * A set of writes that take effect together or not at all.
 *
 * @param conditions the conditions that must all hold
 * @param writes the writes to commit if they do
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    /** Copies the lists. */
    public Transaction {
        conditions = conditions == null ? List.of() : List.copyOf(conditions);
        writes = writes == null ? List.of() : List.copyOf(writes);
    }
}
