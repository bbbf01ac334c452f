package org.hawthornglade.entry.claim;

import org.hawthornglade.core.id.RequestId;

/**
 * A request's wish to claim a call.
 *
 * @param key what is claimed
 * @param request who claims
 * @param deadlineAtMs when its answer is due, in milliseconds since the Unix epoch
 */
public record ClaimRequest(ClaimKey key, RequestId request, long deadlineAtMs) {}
