package org.hawthornglade.core.agent;

import java.util.List;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * Manages the fencing number of one agent process.
 *
 * <p>The number is raised at the engine before any other order, raised again when the engine restarts, renewed after an
 * order whose outcome is unknown, and permanently lost when another process has a newer one.
 */
final class FenceController {
    private static final long RENEWAL_INTERVAL_MS = 2_000;
    private static final long CHECK_INTERVAL_MS = 500;
    private static final long RAISE_RETRY_MS = 200;

    private final AgentPolicies policies;
    private final long checkMaxAgeMs;
    private long number;
    private boolean lost;
    private long checkedAtMs = Long.MIN_VALUE / 2;
    private long nextCheckAtMs;
    private long pausedUntilMs = Long.MIN_VALUE;
    private boolean renewalRequested;
    private long nextRenewalAtMs;

    private boolean raiseInFlight;
    private int raiseFailures;
    private long nextRaiseAtMs;
    private long raisedNumber;
    private long raisedBootId;
    private long raisedSequence;

    FenceController(AgentPolicies policies, long checkMaxAgeMs) {
        this.policies = policies;
        this.checkMaxAgeMs = checkMaxAgeMs;
    }

    long number() {
        return number;
    }

    void onTaken(long newNumber, long nowMs) {
        if (lost || newNumber <= number) {
            return;
        }
        number = newNumber;
        checkedAtMs = nowMs;
        renewalRequested = false;
    }

    void onChecked(long atMs) {
        checkedAtMs = Math.max(checkedAtMs, atMs);
        nextCheckAtMs = 0;
    }

    /** Records that the process was paused, during which another process may have taken over. */
    void onProcessPaused(long nowMs) {
        pausedUntilMs = nowMs;
    }

    void onLost() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }

    /** Requests a newer number, with which the engine refuses older orders that may still be in transit. */
    void requestRenewal() {
        renewalRequested = true;
    }

    /** Issues the commands to raise and renew the number where the state requires it. */
    void decide(EngineReport latest, long nowMs, List<AgentCommand> commands) {
        if (lost || number == 0 || latest == null) {
            return;
        }
        if (renewalRequested && nowMs >= nextRenewalAtMs) {
            nextRenewalAtMs = nowMs + RENEWAL_INTERVAL_MS;
            commands.add(new AgentCommand.RenewFence());
        }
        boolean raised = raisedNumber == number && raisedBootId == latest.bootId();
        if (raised || raiseInFlight || nowMs < nextRaiseAtMs) {
            return;
        }
        raiseInFlight = true;
        commands.add(new AgentCommand.SendOrder(new EngineOrder(EngineOrder.Kind.FENCE, null, null, null, 0, number)));
    }

    /** Returns whether the number is raised at the current engine run by an order that the latest report covers. */
    boolean isRaised(EngineReport latest) {
        return !lost
                && number > 0
                && raisedNumber == number
                && raisedBootId == latest.bootId()
                && raisedSequence <= latest.orderSequence();
    }

    /**
     * Returns whether an order may be sent. After a pause the number must be checked first, since an engine loses it in
     * a restart. For an engine that ignores fencing numbers the last check must be recent.
     */
    boolean mayOrder(EngineReport latest, long nowMs) {
        if (checkedAtMs < pausedUntilMs) {
            return false;
        }
        return latest.fencingNumber() > 0 || nowMs - checkedAtMs <= checkMaxAgeMs;
    }

    void requestCheck(long nowMs, List<AgentCommand> commands) {
        if (nowMs < nextCheckAtMs) {
            return;
        }
        nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
        commands.add(new AgentCommand.CheckFence());
    }

    /** Handles an accepted FENCE order; returns whether the number is now raised. */
    boolean onRaiseTaken(AgentEvent.OrderTaken taken, EngineReport latest, long nowMs, List<AgentCommand> commands) {
        raiseInFlight = false;
        raiseFailures = 0;
        if (taken.bootId() != latest.bootId()) {
            // Sequence numbers of an engine run that has not reported yet, or has ended, cannot be compared.
            nextRaiseAtMs = nowMs + RAISE_RETRY_MS;
            return false;
        }
        raisedNumber = taken.order().fencingNumber();
        raisedBootId = taken.bootId();
        raisedSequence = taken.orderSequence();
        commands.add(new AgentCommand.RecordEvent(
                EventDraft.of(EventKind.FENCE_RAISED).detail("number " + raisedNumber)));
        return true;
    }

    void onRaiseFailed(Failure failure, long nowMs) {
        raiseInFlight = false;
        raiseFailures++;
        nextRaiseAtMs = nowMs + policies.orderBackoff().delayMs(raiseFailures, policies.random());
        if (failure.code() == ResultCode.STALE_FENCING_NUMBER) {
            lost = true;
        }
    }
}
