package org.hawthornglade.entry.attempt;

import java.io.IOException;
import java.util.Optional;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.protocol.gen.CancelOutcome;

/** Sends attempts to agents and cancels them. */
public interface AttemptTransport {
    /**
     * Sends an attempt and waits for the head of the agent's response.
     *
     * @param remainingMs the time that remains until the deadline, in milliseconds
     * @return the response, to be closed by the caller
     * @throws AttemptNotSentException if the agent certainly did not accept the attempt
     * @throws IOException if the agent may have accepted the attempt
     */
    AttemptResponse send(InstanceId instance, AttemptId attempt, CallerRequest request, long remainingMs)
            throws IOException;

    /**
     * Cancels an attempt at its agent; waits only a short, bounded time for the agent's confirmation.
     *
     * @return the state of the attempt; empty if the agent did not confirm the cancel in time
     */
    Optional<CancelOutcome> cancel(InstanceId instance, AttemptId attempt);
}
