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

/** Where threads that carry attempts and cancels wait for the decision on them. */
public final class AttemptRegistry {
    private static final Runnable NOT_STARTED = new NoCall();
    private static final Runnable STOP_REQUESTED = new NoCall();

    /** Stands for a call to the endpoint that has not begun. */
    private static final class NoCall implements Runnable {
        @Override
        public void run() {}
    }

    private final ConcurrentHashMap<AttemptId, CompletableFuture<Optional<Failure>>> startRequests =
            new ConcurrentHashMap<>();
    private final ConcurrentHashMap<AttemptId, CompletableFuture<CancelResult>> cancels = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<AttemptId, Runnable> stopActions = new ConcurrentHashMap<>();
    private final Consumer<AgentEvent> events;

    /** Creates a desk that passes events on. */
    public AttemptRegistry(Consumer<AgentEvent> events) {
        this.events = events;
    }

    /**
     * Asks whether an attempt may start.
     *
     * @return empty if it may; else why not, in which case it never will
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public Optional<Failure> requestStart(AttemptRequest attempt) throws InterruptedException {
        CompletableFuture<Optional<Failure>> decision = new CompletableFuture<>();
        if (startRequests.putIfAbsent(attempt.id(), decision) != null) {
            return Optional.of(Failure.of(ResultCode.DUPLICATE_ATTEMPT, "this attempt is here already"));
        }
        try {
            events.accept(new AgentEvent.AttemptArrived(attempt));
            return get(decision);
        } finally {
            startRequests.remove(attempt.id());
        }
    }

    /**
     * Gives an attempt up.
     *
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public CancelResult cancel(AttemptId id) throws InterruptedException {
        CompletableFuture<CancelResult> mine = new CompletableFuture<>();
        CompletableFuture<CancelResult> earlier = cancels.putIfAbsent(id, mine);
        if (earlier != null) {
            return get(earlier);
        }
        try {
            events.accept(new AgentEvent.CancelRequested(id));
            return get(mine);
        } finally {
            cancels.remove(id);
        }
    }

    /** Notes how a running attempt is stopped; one that is to be stopped already is stopped at once. */
    public void onCallPrepared(AttemptId id, Runnable stop) {
        if (stopActions.put(id, stop) == STOP_REQUESTED) {
            stop.run();
        }
    }

    /** Notes that an attempt has ended. */
    public void onEnded(AttemptId id) {
        stopActions.remove(id);
        events.accept(new AgentEvent.AttemptEnded(id));
    }

    /** Hands the decision on an arrival to who waits for it. */
    public void onStartDecision(AttemptId id, Optional<Failure> refusal) {
        if (refusal.isEmpty()) {
            stopActions.put(id, NOT_STARTED);
        }
        CompletableFuture<Optional<Failure>> waiting = startRequests.get(id);
        if (waiting != null) {
            waiting.complete(refusal);
        }
    }

    /** Hands the answer to a cancel to who waits for it. */
    public void onCancelResult(AttemptId id, CancelResult result) {
        CompletableFuture<CancelResult> waiting = cancels.get(id);
        if (waiting != null) {
            waiting.complete(result);
        }
    }

    /** Stops an attempt that was let in, also if its call to the endpoint has not begun yet. */
    public void stop(AttemptId id) {
        Runnable stop = stopActions.computeIfPresent(id, (known, now) -> now == NOT_STARTED ? STOP_REQUESTED : now);
        if (stop != null) {
            stop.run();
        }
    }

    private static <T> T get(CompletableFuture<T> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a decision never fails", e);
        }
    }
}
