package org.hawthornglade.standin.weight;

/**
 * A fetch that came to its end.
 *
 * @param tookMs how long it took, in milliseconds
 */
public record FetchResult(long tookMs) {}
