package org.hawthornglade.standin.weight;

/**
 * The result of a completed fetch.
 *
 * @param tookMs the duration of the fetch, in milliseconds
 */
public record FetchResult(long tookMs) {}
