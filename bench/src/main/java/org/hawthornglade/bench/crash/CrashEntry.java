package org.hawthornglade.bench.crash;

import java.util.Map;
import java.util.Optional;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Decision;
import org.hawthornglade.core.dispatch.Dispatcher;
import org.hawthornglade.core.dispatch.LeastLoadedSelector;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.quarantine.InstanceCrash;
import org.hawthornglade.core.quarantine.PromptQuarantine;
import org.hawthornglade.core.result.ResultCode;

/** Emulates one entry: the real decisions with the minimum around them to send calls and to resume broken ones. */
final class CrashEntry {
    private static final long NETWORK_MS = 2;
    /** The time from a cut-off call to the result of the check whether its engine still accepts connections. */
    private static final long CRASH_CHECK_MS = 25;
    /** The pause before a call that finds no endpoint is decided again. */
    private static final long RETRY_MS = 50;

    private final VirtualTime time;
    private final Map<InstanceId, CrashingEngine> engines;
    private final CrashChecker checker;
    private final Fleet fleet = new Fleet();
    private final Dispatcher dispatcher;
    private final PromptQuarantine quarantine;

    CrashEntry(String name, VirtualTime time, Map<InstanceId, CrashingEngine> engines, CrashChecker checker) {
        this.quarantine = new PromptQuarantine(name, new PromptQuarantine.Listener() {});
        this.time = time;
        this.engines = engines;
        this.checker = checker;
        LeastLoadedSelector selector = new LeastLoadedSelector(CrashSite.LOCAL_DOMAIN);
        this.dispatcher = new Dispatcher(fleet, selector, selector, quarantine);
        fleet.onSnapshot(engines.values().stream().map(CrashingEngine::record).toList(), time.nowMs());
    }

    PromptQuarantine quarantine() {
        return quarantine;
    }

    /** Handles a changed record of an engine. */
    void onRecord(InstanceRecord record) {
        fleet.onChanged(record, time.nowMs());
    }

    void onCall(CallView call) {
        decide(call, 0);
    }

    private void decide(CallView call, int runs) {
        Decision decision = dispatcher.decide(call, time.nowMs());
        if (decision instanceof Decision.Send send) {
            send(call, send.endpoint(), runs);
        } else if (decision instanceof Decision.Wait) {
            time.after(RETRY_MS, () -> decide(call, runs));
        } else {
            boolean quarantined =
                    decision instanceof Decision.Refuse refusal && refusal.code() == ResultCode.PROMPT_QUARANTINED;
            if (quarantined && !CrashSite.deadly(call)) {
                checker.onSoundRefusal();
            }
            end(call, false);
        }
    }

    private void send(CallView call, Endpoint endpoint, int runs) {
        CrashingEngine engine = engines.get(endpoint.id());
        if (!engine.accepts()) {
            endpoint.health().onUnreachable(time.nowMs());
            time.after(RETRY_MS, () -> decide(call, runs));
            return;
        }
        InstanceCrash crash = new InstanceCrash(endpoint.id(), endpoint.record().bornMs());
        long sentAtMs = time.nowMs();
        endpoint.load().begin(Optional.empty(), 0, 0);
        time.after(
                NETWORK_MS,
                () -> engine.run(
                        CrashSite.deadly(call),
                        complete -> time.after(
                                NETWORK_MS, () -> onEnd(call, endpoint, crash, sentAtMs, runs + 1, complete))));
    }

    private void onEnd(
            CallView call, Endpoint endpoint, InstanceCrash crash, long sentAtMs, int runs, boolean complete) {
        endpoint.load().end(Optional.empty(), 0);
        if (complete) {
            endpoint.health().onSuccess(time.nowMs());
            quarantine.onCompleted(call, time.nowMs());
            end(call, true);
            return;
        }
        endpoint.health().onResponseLost(time.nowMs());
        call.tried().add(endpoint.id());
        boolean suspected = quarantine.suspected(call);
        reportCrash(call, endpoint.id(), crash, sentAtMs);
        if (call.route().repeatable() && runs < call.route().maxAttempts() && !suspected) {
            decide(call, runs);
        } else {
            end(call, false);
        }
    }

    /** Reports a crash if the engine refuses connections shortly after the call was cut off. */
    private void reportCrash(CallView call, InstanceId engine, InstanceCrash crash, long sentAtMs) {
        long cutOffAtMs = time.nowMs();
        time.after(CRASH_CHECK_MS, () -> {
            if (!engines.get(engine).accepts()) {
                quarantine.onCrash(crash, call, sentAtMs, cutOffAtMs, time.nowMs());
            }
        });
    }

    private void end(CallView call, boolean served) {
        if (!CrashSite.deadly(call)) {
            checker.onSoundOutcome(call.arrivedAtMs(), served);
        }
    }
}
