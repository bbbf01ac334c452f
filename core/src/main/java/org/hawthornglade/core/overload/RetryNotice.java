package org.hawthornglade.core.overload;

import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.ServiceName;

/**
 * The last Retry-After that a caller was given.
 *
 * @param service the service of the refused call
 * @param model the model of the refused call, empty if it needed none
 * @param untilMs when the caller was to come back
 */
public record RetryNotice(ServiceName service, Optional<ModelName> model, long untilMs) {
    /** Returns until when a call of this caller goes after others; 0 if the notice was for other calls. */
    public long yieldsUntilMs(ServiceName calledService, Optional<ModelName> calledModel) {
        return service.equals(calledService) && model.equals(calledModel) ? untilMs : 0;
    }
}
