package org.hawthornglade.standin.table;

/**
 * The number of calls that a table service has received, including refused ones.
 *
 * @param reads reads of one row
 * @param scans reads of several rows
 * @param transactions transactions, committed or not
 * @param rateLimited how many of these calls were refused by the rate limit
 */
public record CallCounts(long reads, long scans, long transactions, long rateLimited) {}
