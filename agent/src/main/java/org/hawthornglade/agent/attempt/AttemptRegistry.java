package org.hawthornglade.agent.attempt;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import org.hawthornglade.core.agent.AgentEvent;
import org.hawthornglade.core.agent.AttemptRequest;
import org.hawthornglade.core.agent.CancelResult;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Tracks attempts and cancellations, whose threads wait here for the decision on them. */
public final class AttemptRegistry {
    private static final Runnable NOT_STARTED = new NoCall();
    private static final Runnable STOP_REQUESTED = new NoCall();

    /** A marker for an attempt whose call to the endpoint has not been prepared yet. */
    private static final class NoCall implements Runnable {
        @Override
        public void run() {}
    }

    private final ConcurrentHashMap<AttemptId, CompletableFuture<Optional<Failure>>> startRequests =
            new ConcurrentHashMap<>();
    private final ConcurrentHashMap<AttemptId, CompletableFuture<CancelResult>> cancels = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<AttemptId, Runnable> stopActions = new ConcurrentHashMap<>();
    private final Consumer<AgentEvent> events;

    /** Creates a registry that passes its events to a consumer. */
    public AttemptRegistry(Consumer<AgentEvent> events) {
        this.events = events;
    }

    /**
     * Requests permission to start an attempt and waits for the decision.
     *
     * @return empty if it may start; else the reason for the refusal, which is final
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public Optional<Failure> requestStart(AttemptRequest attempt) throws InterruptedException {
        CompletableFuture<Optional<Failure>> decision = new CompletableFuture<>();
        if (startRequests.putIfAbsent(attempt.id(), decision) != null) {
            return Optional.of(
                    Failure.of(ResultCode.DUPLICATE_ATTEMPT, "the agent already has a start request for this attempt"));
        }
        try {
            events.accept(new AgentEvent.AttemptArrived(attempt));
            return get(decision);
        } finally {
            startRequests.remove(attempt.id());
        }
    }

    /**
     * Cancels an attempt and waits for the result; concurrent calls for the same attempt share it.
     *
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public CancelResult cancel(AttemptId id) throws InterruptedException {
        CompletableFuture<CancelResult> pending = new CompletableFuture<>();
        CompletableFuture<CancelResult> earlier = cancels.putIfAbsent(id, pending);
        if (earlier != null) {
            return get(earlier);
        }
        try {
            events.accept(new AgentEvent.CancelRequested(id));
            return get(pending);
        } finally {
            cancels.remove(id);
        }
    }

    /** Sets the action that stops an attempt; runs it at once if a stop has been requested already. */
    public void onCallPrepared(AttemptId id, Runnable stop) {
        if (stopActions.put(id, stop) == STOP_REQUESTED) {
            stop.run();
        }
    }

    /** Records that an attempt has ended. */
    public void onEnded(AttemptId id) {
        stopActions.remove(id);
        events.accept(new AgentEvent.AttemptEnded(id));
    }

    /** Passes the decision on a start request to the thread that waits for it. */
    public void onStartDecision(AttemptId id, Optional<Failure> refusal) {
        if (refusal.isEmpty()) {
            stopActions.put(id, NOT_STARTED);
        }
        CompletableFuture<Optional<Failure>> waiting = startRequests.get(id);
        if (waiting != null) {
            waiting.complete(refusal);
        }
    }

    /** Passes the result of a cancellation to the thread that waits for it. */
    public void onCancelResult(AttemptId id, CancelResult result) {
        CompletableFuture<CancelResult> waiting = cancels.get(id);
        if (waiting != null) {
            waiting.complete(result);
        }
    }

    /** Stops an attempt that was accepted, even if its call to the endpoint has not been prepared yet. */
    public void stop(AttemptId id) {
        Runnable stop =
                stopActions.computeIfPresent(id, (key, current) -> current == NOT_STARTED ? STOP_REQUESTED : current);
        if (stop != null) {
            stop.run();
        }
    }

    private static <T> T get(CompletableFuture<T> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a decision future completed exceptionally", e);
        }
    }
}
