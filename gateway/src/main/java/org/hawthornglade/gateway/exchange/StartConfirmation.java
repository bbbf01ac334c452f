package org.hawthornglade.gateway.exchange;

import java.util.function.Consumer;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.StartDoubt;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.gateway.http.OutboundConnection;

/** Makes sure that a stream is sent to the start of an instance that its record names, where that is uncertain. */
final class StartConfirmation {
    private final ExchangeContext context;
    private final CallView view;
    private final Endpoint endpoint;
    private final InstanceRecord chosen;

    /**
     * Creates a confirmation for one attempt.
     *
     * @param chosen the record by which the endpoint was chosen
     */
    StartConfirmation(ExchangeContext context, CallView view, Endpoint endpoint, InstanceRecord chosen) {
        this.context = context;
        this.view = view;
        this.endpoint = endpoint;
        this.chosen = chosen;
    }

    /**
     * Checks the start of the instance if it is uncertain.
     *
     * @param opened the connection over which the call is to be sent
     * @param done receives the result, at once if nothing is uncertain
     */
    void confirm(OutboundConnection opened, Consumer<StartCheck.Result> done) {
        if (!uncertain(opened)) {
            done.accept(StartCheck.Result.SAME);
            return;
        }
        StartDoubt doubt = endpoint.startDoubt();
        long signs = doubt.signs();
        // Asked after the connection was opened: what has started since then did not accept it.
        context.startCheck().check(chosen, result -> {
            if (result == StartCheck.Result.SAME) {
                doubt.onConfirmed(signs);
                opened.confirmStart();
            }
            done.accept(result);
        });
    }

    /**
     * Returns whether a stream goes on, or would begin at an instance that may run since another start than its record
     * tells: there is a sign of it, or the list cannot be read.
     */
    private boolean uncertain(OutboundConnection opened) {
        if (view.streamVersion().isPresent()) {
            return true;
        }
        boolean stream = view.route().kind() == CallKind.STREAM;
        boolean doubtful = endpoint.startDoubt().present() || !context.fleet().listed(endpoint.id());
        return stream && doubtful && !opened.startConfirmed();
    }
}
