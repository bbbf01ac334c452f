package org.hawthornglade.core.admission;

/**
 * A request that was taken into the queue.
 *
 * @param request the request
 * @param completionInMs when its answer is predicted to be whole, in milliseconds from now
 */
public record Admitted(WaitingRequest request, long completionInMs) {}
