package org.hawthornglade.entry.attempt;

import org.hawthornglade.core.entry.IncomingRequest;
import org.hawthornglade.entry.claim.ClaimKey;

/**
 * A caller's request after validation.
 *
 * @param request the request as the entry decider sees it
 * @param call the call to send to the endpoint
 * @param claimKey the key to claim before the call is sent; null for an idempotent call
 */
public record CallerRequest(IncomingRequest request, OutboundCall call, ClaimKey claimKey) {}
