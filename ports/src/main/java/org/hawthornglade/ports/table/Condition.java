package org.hawthornglade.ports.table;

/**
 * A condition on a row that must hold for a transaction to commit.
 *
 * @param table the table's name
 * @param key the key within the table
 * @param revision the revision that the row must have; 0 if it must be absent
 */
public record Condition(String table, String key, long revision) {
    /** The revision of a row that does not exist. */
    public static final long ABSENT = 0;

    /** Requires that the row is absent. */
    public static Condition absent(String table, String key) {
        return new Condition(table, key, ABSENT);
    }

    /** Requires that the row is unchanged since it was read. */
    public static Condition unchanged(Row row) {
        return new Condition(row.table(), row.key(), row.revision());
    }
}
