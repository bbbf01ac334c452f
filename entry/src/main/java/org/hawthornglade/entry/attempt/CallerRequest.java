package org.hawthornglade.entry.attempt;

import org.hawthornglade.core.entry.IncomingRequest;
import org.hawthornglade.entry.claim.ClaimKey;

/**
 * A validated request of a caller: the request that the entry decides on, the outbound call and the claim key.
 *
 * @param request the input of the entry's decisions, such as admission and routing
 * @param call the call to send to the endpoint
 * @param claimKey the key to claim before the call is sent; null for an idempotent call
 */
public record CallerRequest(IncomingRequest request, OutboundCall call, ClaimKey claimKey) {}
