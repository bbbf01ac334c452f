package org.hawthornglade.ports.table;

/**
 * One row as the table service stores it.
 *
 * @param table the table's name
 * @param key the key within the table
 * @param revision increases with every write of the row; at least 1
 * @param json the value
 */
public record Row(String table, String key, long revision, String json) {}
