package org.hawthornglade.entry.operator;

import com.fasterxml.jackson.annotation.JsonInclude;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.List;
import org.hawthornglade.core.config.Fault;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.plan.PlanRefusal;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.entry.caller.ErrorBody;
import org.hawthornglade.ports.configuration.ConfirmRefusal;
import org.hawthornglade.ports.configuration.Confirmation;

/** Builds the responses to operators. */
final class OperatorResponses {
    private static final long MS_PER_SECOND = 1_000;

    private OperatorResponses() {}

    /**
     * The body of a refusal, with details for the next try.
     *
     * @param error the same error object as in responses to callers
     * @param faults every error of the intent
     * @param freshPlan a plan of the same intent for the configuration now in force; null if there is none
     */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    record Refusal(ErrorBody.Content error, List<Fault> faults, Plan freshPlan) {}

    /**
     * The body of the response to a confirm that took effect.
     *
     * @param version the configuration version that it created
     * @param planId the confirmed plan
     * @param office the office that confirmed it
     * @param confirmedAtMs the time of the confirm, in milliseconds since the Unix epoch
     * @param repeated whether an earlier call had already confirmed the plan
     */
    record Confirmed(long version, String planId, String office, long confirmedAtMs, boolean repeated) {}

    /**
     * The body of the response to a drain that the agent has started.
     *
     * @param instance the instance
     */
    record Draining(String instance) {}

    static Response failure(Failure failure) {
        return refusal(failure, List.of(), null);
    }

    static Response refusal(PlanRefusal refusal) {
        return refusal(refusal.failure(), refusal.faults(), null);
    }

    static Response refusal(ConfirmRefusal refusal) {
        List<Fault> faults = refusal.replanRefusal().map(PlanRefusal::faults).orElse(List.of());
        return refusal(refusal.failure(), faults, refusal.freshPlan().orElse(null));
    }

    static Response confirmed(Confirmation confirmation) {
        return Response.ok(new Confirmed(
                        confirmation.configuration().version(),
                        confirmation.configuration().planId(),
                        confirmation.configuration().office(),
                        confirmation.configuration().confirmedAtMs(),
                        confirmation.repeated()))
                .build();
    }

    private static Response refusal(Failure failure, List<Fault> faults, Plan freshPlan) {
        Response.ResponseBuilder builder = Response.status(failure.code().httpStatus())
                .type(MediaType.APPLICATION_JSON_TYPE)
                .entity(new Refusal(ErrorBody.of(failure).error(), faults, freshPlan));
        if (failure.retryAfterMs() > 0) {
            builder.header(HttpHeaders.RETRY_AFTER, (failure.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND);
        }
        return builder.build();
    }
}
