package org.hawthornglade.ports.table;

/**
 * One write of a transaction.
 *
 * @param table the table's name
 * @param key the key within the table
 * @param json the new value; null deletes the row
 */
public record Write(String table, String key, String json) {
    /** Sets a row. */
    public static Write put(String table, String key, String json) {
        return new Write(table, key, json);
    }

    /** Deletes a row. */
    public static Write delete(String table, String key) {
        return new Write(table, key, null);
    }
}
