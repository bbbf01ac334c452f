package org.hawthornglade.core.dispatch;

import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;

/**
 * The work whose usual time is learned.
 *
 * @param service the service
 * @param model the model; empty for plain calls
 * @param part the part of a generation that is timed, or the route of plain calls
 */
public record WorkKind(ServiceName service, Optional<ModelName> model, String part) {
    /** Returns the work until the first token of a generation. */
    public static WorkKind firstToken(CallView call) {
        return new WorkKind(call.service(), call.demand().map(ModelDemand::model), "first-token");
    }

    /** Returns the work between two events of a generation. */
    public static WorkKind betweenEvents(CallView call) {
        return new WorkKind(call.service(), call.demand().map(ModelDemand::model), "between-events");
    }

    /** Returns the work of a plain call. */
    public static WorkKind plain(CallView call) {
        return new WorkKind(call.service(), Optional.empty(), call.route().name());
    }
}
