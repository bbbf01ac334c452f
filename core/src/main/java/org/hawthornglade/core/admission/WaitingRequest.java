package org.hawthornglade.core.admission;

import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceClass;

/**
 * A request that waits for an endpoint.
 *
 * @param id the id of the request
 * @param model the base model whose replicas can run it
 * @param adapter the adapter that it needs; null if it is for the base model
 * @param serviceClass its class of service
 * @param organisation the organisation that sent it
 * @param arrivedAtMs when it arrived, in milliseconds
 * @param deadlineAtMs when its complete answer is due, in milliseconds
 */
public record WaitingRequest(
        RequestId id,
        ModelName model,
        ModelName adapter,
        ServiceClass serviceClass,
        OrganisationId organisation,
        long arrivedAtMs,
        long deadlineAtMs) {}
