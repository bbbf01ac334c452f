package org.hawthornglade.core.admission;

import org.hawthornglade.core.result.Failure;

/**
 * A request that was removed from the queue without being dispatched; it was not run.
 *
 * @param request the request
 * @param failure the reason and the retry-after time
 */
public record Refusal(WaitingRequest request, Failure failure) {}
