package org.hawthornglade.core.admission;

/**
 * A request that was admitted to the queue.
 *
 * @param request the request
 * @param completionInMs when its answer is predicted to be complete, in milliseconds from now
 */
public record Admitted(WaitingRequest request, long completionInMs) {}
