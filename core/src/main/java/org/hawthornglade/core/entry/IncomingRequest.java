package org.hawthornglade.core.entry;

import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceClass;

/**
 * A caller's request as the decisions see it.
 *
 * @param id the request
 * @param target what it is to be run on
 * @param organisation who calls
 * @param serviceClass its class of service
 * @param weight the weight of its class
 * @param arrivedAtMs when it came, in milliseconds by the entry's clock
 * @param deadlineAtMs when its answer is due, in milliseconds by the entry's clock
 * @param idempotent whether it may be run again
 */
public record IncomingRequest(
        RequestId id,
        Target target,
        OrganisationId organisation,
        ServiceClass serviceClass,
        double weight,
        long arrivedAtMs,
        long deadlineAtMs,
        boolean idempotent) {}
