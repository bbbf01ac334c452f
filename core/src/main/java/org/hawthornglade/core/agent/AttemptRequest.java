package org.hawthornglade.core.agent;

import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;

/**
 * An attempt that an entry asks an agent to run.
 *
 * @param id the id of the attempt
 * @param request the request that the attempt belongs to
 * @param entry the entry that sent it
 * @param model the base model; null for a call to a plain service
 * @param adapter the adapter; null if none
 * @param deadlineAtMs when the answer is due, in milliseconds by the agent's clock
 */
public record AttemptRequest(
        AttemptId id, RequestId request, String entry, ModelName model, ModelName adapter, long deadlineAtMs) {}
