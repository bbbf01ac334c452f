package org.hawthornglade.gateway.port;

import java.util.Optional;
import java.util.OptionalLong;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.resumption.TakeUp;
import org.hawthornglade.core.team.Credential;

/**
 * The information in a caller's headers.
 *
 * @param id the id that the caller gave to this attempt
 * @param remainingMs how long the caller will wait
 * @param demand the demand on a model engine
 * @param statedTokens the sum of the numbers of tokens that the request states; empty if it states none
 * @param lastEventId the last event that the caller received, if it resumes a stream
 * @param takeUp the caller's wish to resume a stream that an earlier attempt began
 * @param credential the caller's key; used only where teams are configured
 */
public record CallRequest(
        RequestId id,
        OptionalLong remainingMs,
        Optional<ModelDemand> demand,
        OptionalLong statedTokens,
        Optional<String> lastEventId,
        Optional<TakeUp> takeUp,
        Credential credential) {}
