package org.hawthornglade.core.entry;

import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceClass;

/**
 * A caller's request, with what admission and routing need of it.
 *
 * @param id the id of the request
 * @param target the model or service that runs it
 * @param organisation the organisation of the caller
 * @param serviceClass the class of service
 * @param weight the weight of that class
 * @param arrivedAtMs when it arrived, in milliseconds by the entry's clock
 * @param deadlineAtMs when its answer is due, in milliseconds by the entry's clock
 * @param idempotent whether it may be run more than once
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
