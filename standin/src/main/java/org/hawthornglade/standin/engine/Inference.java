package org.hawthornglade.standin.engine;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.time.Timers;

/** Runs the requests of one engine: a limited number run concurrently, the others wait in order of arrival. */
public final class Inference {
    private static final long ENDED_RETENTION_MS = 10_000;
    private static final long STALL_POLL_MS = 20;
    private static final long MS_PER_SECOND = 1_000;

    /** The execution of one request. */
    private final class Run {
        private final Generation generation;
        private final AnswerEncoder encoder;
        private final int tokens;
        private final String promptChecksum;
        private final String runTag;
        private int produced;
        private long nextStepMs;

        private Run(Generation generation, long runNumber) {
            InferenceRequest request = generation.request();
            this.generation = generation;
            this.encoder =
                    new AnswerEncoder(generation.id(), request, timers.clock().nowMs() / MS_PER_SECOND);
            this.tokens = request.maxTokens() == 0
                    ? settings.naturalTokens()
                    : Math.min(request.maxTokens(), settings.naturalTokens());
            this.promptChecksum = AnswerText.promptChecksum(request.prompt());
            this.runTag = Long.toHexString(runNumber);
        }

        private void begin() {
            nextStepMs = timers.clock().nowMs() + settings.firstTokenMs();
            timers.after(settings.firstTokenMs(), this::step);
        }

        private void step() {
            if (generation.ended()) {
                return;
            }
            if (faults.script().stallStreams()) {
                nextStepMs = timers.clock().nowMs() + STALL_POLL_MS;
                timers.after(STALL_POLL_MS, this::step);
                return;
            }
            if (produced == tokens) {
                finish(generation, encoder.encodeEnd(tokens < settings.naturalTokens() ? "length" : "stop"));
                return;
            }
            generation.append(encoder.encodeToken(AnswerText.token(produced, promptChecksum, runTag)), false);
            produced++;
            nextStepMs += produced == tokens ? 0 : settings.betweenTokenMs();
            timers.after(nextStepMs - timers.clock().nowMs(), this::step);
        }
    }

    private final EngineSettings settings;
    private final EngineState engine;
    private final FaultInjector faults;
    private final Timers timers;
    private final Map<String, Generation> byId = new HashMap<>();
    private final Deque<Run> waiting = new ArrayDeque<>();
    private int running;
    private long requestNumber;
    private long runNumber;

    /** Creates the request handling of an engine. */
    public Inference(EngineSettings settings, EngineState engine, FaultInjector faults, Timers timers) {
        this.settings = settings;
        this.engine = engine;
        this.faults = faults;
        this.timers = timers;
        this.runNumber = engine.bootId() << Byte.SIZE;
        engine.setRequestAborter(this::abortModel);
    }

    /**
     * Starts a request, or queues it if the concurrency limit is reached.
     *
     * @param requestId its id within this run of the engine; null lets the engine generate one
     * @return left with MODEL_NOT_LOADED, or with DUPLICATE_ATTEMPT if the id was used in this run
     */
    public Either<Failure, Generation> start(String requestId, InferenceRequest request) {
        if (requestId != null && find(requestId).isPresent()) {
            return Either.left(Failure.of(ResultCode.DUPLICATE_ATTEMPT, "the request id is in use: " + requestId));
        }
        if (!engine.beginRequest(request.model())) {
            return Either.left(
                    Failure.of(ResultCode.MODEL_NOT_LOADED, "The model `" + request.model() + "` does not exist."));
        }
        Run run = admit(requestId, request);
        if (run != null) {
            run.begin();
            return Either.right(run.generation);
        }
        return Either.right(find(requestId).orElseThrow());
    }

    /** Returns the request's execution if it may begin now; otherwise queues it and returns null. */
    private synchronized Run admit(String requestId, InferenceRequest request) {
        requestNumber++;
        runNumber++;
        String id = requestId == null ? "request-" + requestNumber : requestId;
        Generation generation = new Generation(id, request);
        byId.put(id, generation);
        Run run = new Run(generation, runNumber);
        if (running < settings.maxConcurrent()) {
            running++;
            return run;
        }
        waiting.addLast(run);
        return null;
    }

    /** Returns a request of this run of the engine, including one that ended recently. */
    public synchronized Optional<Generation> find(String requestId) {
        return Optional.ofNullable(byId.get(requestId));
    }

    /** Cancels a request; false if there is none with this id. */
    public boolean cancel(String requestId) {
        Optional<Generation> generation = find(requestId);
        generation.ifPresent(this::abort);
        return generation.isPresent();
    }

    private void abort(Generation generation) {
        if (generation.abort()) {
            onEnded(generation);
        }
    }

    private void abortModel(ModelName model) {
        List<Generation> all = all();
        all.stream()
                .filter(generation -> generation.request().model().equals(model))
                .forEach(this::abort);
    }

    /** Aborts and removes all requests, as a new run of the engine does; generated ids start again. */
    public void reset() {
        all().forEach(this::abort);
        clear();
    }

    private synchronized void clear() {
        byId.clear();
        requestNumber = 0;
    }

    private synchronized List<Generation> all() {
        return List.copyOf(byId.values());
    }

    private void finish(Generation generation, byte[] last) {
        if (generation.append(last, true)) {
            onEnded(generation);
        }
    }

    private void onEnded(Generation generation) {
        engine.endRequest(generation.request().model());
        timers.after(ENDED_RETENTION_MS, () -> remove(generation));
        Run next = releaseSlot(generation);
        if (next != null) {
            next.begin();
        }
    }

    private synchronized void remove(Generation generation) {
        byId.remove(generation.id(), generation);
    }

    /** Passes the slot of an ended request to the next waiting one; returns null if none is to begin. */
    private synchronized Run releaseSlot(Generation ended) {
        if (waiting.removeIf(run -> run.generation == ended)) {
            return null;
        }
        while (!waiting.isEmpty()) {
            Run run = waiting.removeFirst();
            if (!run.generation.ended()) {
                return run;
            }
        }
        running--;
        return null;
    }
}
