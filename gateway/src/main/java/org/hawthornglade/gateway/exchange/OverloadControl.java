package org.hawthornglade.gateway.exchange;

import java.util.Optional;
import java.util.function.IntSupplier;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Decision;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.dispatch.SlotSupply;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.overload.ServiceTimes;
import org.hawthornglade.core.overload.StartPrediction;

/** Predicts when the calls that wait for room at an endpoint start, from the calls of this entry. */
public final class OverloadControl {
    private final boolean always;
    private final IntSupplier entries;
    private final ServiceTimes times = new ServiceTimes();

    /**
     * Creates a control.
     *
     * @param always whether starts are predicted for all calls; otherwise only where teams are configured
     * @param entries returns the number of entries
     */
    public OverloadControl(boolean always, IntSupplier entries) {
        this.entries = entries;
        this.always = always;
    }

    /** Records how long a completed call took at its endpoint, in milliseconds. */
    void onCompleted(CallView call, long firstMs, long totalMs, long nowMs) {
        times.onCompleted(call.service(), model(call), firstMs, totalMs, nowMs);
    }

    /**
     * Predicts the start of a call.
     *
     * @return empty if the call waits for something else than room, if no start is to be predicted for it, or if too
     *     little is known
     */
    Optional<StartPrediction> predict(
            CallView call, Decision.Wait wait, WaitingCalls waitingCalls, Fleet fleet, long nowMs) {
        if (!wait.forRoom() || !(always || call.caller().teamsConfigured())) {
            return Optional.empty();
        }
        return times.of(call.service(), model(call), nowMs)
                .map(time -> StartPrediction.of(
                        waitingCalls.ahead(call),
                        SlotSupply.of(call, fleet.usable(call.service()), nowMs),
                        entries.getAsInt(),
                        time,
                        nowMs));
    }

    static Optional<ModelName> model(CallView call) {
        return call.demand().map(ModelDemand::model);
    }
}
