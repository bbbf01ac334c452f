package org.hawthornglade.core.admission;

import org.hawthornglade.core.result.Failure;

/**
 * A request that left the queue without having been dispatched; it was not run.
 *
 * @param request the request
 * @param failure why, and when to come back
 */
public record Refusal(WaitingRequest request, Failure failure) {}
