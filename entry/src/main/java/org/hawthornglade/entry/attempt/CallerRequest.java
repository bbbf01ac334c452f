package org.hawthornglade.entry.attempt;

import org.hawthornglade.core.entry.IncomingRequest;
import org.hawthornglade.entry.claim.ClaimKey;

/**
 * A checked request of a caller.
 *
 * @param request as the decisions see it
 * @param call what is sent to the endpoint
 * @param claimKey what is claimed before it is sent; null for an idempotent call
 */
public record CallerRequest(IncomingRequest request, OutboundCall call, ClaimKey claimKey) {}
