package org.hawthornglade.standin.table;

/**
 * How many calls a table service has received, refused ones included.
 *
 * @param reads of one row
 * @param scans of many rows
 * @param transactions committed or not
 * @param rateLimited how many of them it refused for their rate
 */
public record CallCounts(long reads, long scans, long transactions, long rateLimited) {}
