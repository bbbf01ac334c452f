package org.hawthornglade.entry.attempt;

import java.io.IOException;
import java.util.Optional;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.protocol.gen.CancelOutcome;

/** Carries attempts to agents. */
public interface AttemptTransport {
    /**
     * Sends an attempt and waits for the head of the agent's answer.
     *
     * @param remainingMs what is left of the deadline, in milliseconds
     * @return the answer, to be closed by the caller
     * @throws AttemptNotSentException if the agent certainly did not take the attempt
     * @throws IOException if the attempt may have been taken
     */
    AttemptResponse send(InstanceId instance, AttemptId attempt, CallerRequest request, long remainingMs)
            throws IOException;

    /**
     * Gives an attempt up at its agent; waits for the agent's word only for a short, bounded time.
     *
     * @return what became of the attempt; empty if the agent did not say
     */
    Optional<CancelOutcome> cancel(InstanceId instance, AttemptId attempt);
}
