package org.hawthornglade.gateway.port;

import java.util.Optional;
import java.util.OptionalLong;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.id.RequestId;

/**
 * What a caller's headers say.
 *
 * @param id the caller's id of this attempt of its own
 * @param remainingMs how long the caller will wait
 * @param demand what is asked of a model engine
 * @param lastEventId the last event that the caller has, where it resumes a stream
 */
public record CallRequest(
        RequestId id, OptionalLong remainingMs, Optional<ModelDemand> demand, Optional<String> lastEventId) {}
