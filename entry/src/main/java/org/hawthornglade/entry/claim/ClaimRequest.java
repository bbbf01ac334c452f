package org.hawthornglade.entry.claim;

import org.hawthornglade.core.id.RequestId;

/**
 * A request to claim a call.
 *
 * @param key identifies the call
 * @param request the id of the caller's request
 * @param deadlineAtMs the deadline of the caller's request, in milliseconds since the Unix epoch
 */
public record ClaimRequest(ClaimKey key, RequestId request, long deadlineAtMs) {}
