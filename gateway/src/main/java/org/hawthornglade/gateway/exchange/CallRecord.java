package org.hawthornglade.gateway.exchange;

import java.util.Optional;
import java.util.stream.Collectors;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Decision;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.dispatch.ReplicaShortage;
import org.hawthornglade.core.id.RequestDigest;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.overload.StartPrediction;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.gateway.http.BodyFraming;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.log.LogLine;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/** Collects the events of a call and logs them as one line when the call ends; an early refusal has its own line. */
final class CallRecord {
    private static final int MAX_NOTES_LENGTH = 300;
    private static final int MAX_EVENT_ID_LENGTH = 40;

    private final RequestId id;
    private final CallView view;
    private final long configurationVersion;
    private final StringBuilder notes = new StringBuilder();
    private String waitedFor = "";
    private String instance = "";
    private int sends;
    private long sentAtMs;
    private long firstByteAtMs;
    private long promisedAtMs;
    private long startPredictedAtMs;
    private long retryAfterMs;
    private Optional<ReplicaShortage> shortage = Optional.empty();
    private Optional<BodyFraming> streamFraming = Optional.empty();
    private int partialEventBytes;
    private Optional<EventDisorder> disorder = Optional.empty();
    private Optional<InvalidEvent> invalidEvent = Optional.empty();
    private boolean responseLost;
    private Optional<RequestDigest> digest = Optional.empty();

    CallRecord(RequestId id, CallView view, long configurationVersion) {
        this.id = id;
        this.view = view;
        this.configurationVersion = configurationVersion;
    }

    void onWait(Decision.Wait decision) {
        waitedFor = decision.reason();
        if (promisedAtMs == 0) {
            promisedAtMs = decision.expectedAtMs().orElse(0);
        }
    }

    /** Logs that the call is refused because no endpoint is expected to have room for it in time. */
    void logLate(EventLog log, GatewayMetrics metrics, StartPrediction predicted, long leftMs) {
        metrics.count("calls_refused_as_late");
        log.event("call-late")
                .with("request", id)
                .with("service", view.service())
                .with("ahead", predicted.ahead())
                .with("endpoints", predicted.supply().endpoints())
                .with("own_in_flight", predicted.supply().ownInFlight())
                .with("in_flight", predicted.supply().inFlight())
                .with("call_ms", Math.round(predicted.time().totalMs()))
                .with("first_ms", Math.round(predicted.time().firstMs()))
                .with("age_ms", predicted.time().ageMs())
                .with("start_ms", predicted.startInMs())
                .with("left_ms", leftMs)
                .write();
    }

    /** Records what no endpoint had ready when the call was made to wait or refused; the last one counts. */
    void onShortage(ReplicaShortage found) {
        shortage = Optional.of(found);
    }

    void onRetryAfter(long delayMs) {
        retryAfterMs = delayMs;
    }

    /** Returns whether the call waited for a load with an estimated end, but was never sent. */
    private boolean promiseBroken(ResultCode code) {
        return promisedAtMs > 0 && sends == 0 && code != ResultCode.CANCELLED_BEFORE_START;
    }

    /** Records when the call is expected to be sent; the first prediction counts. */
    void onStartPredicted(long atMs) {
        if (startPredictedAtMs == 0) {
            startPredictedAtMs = atMs;
        }
    }

    /** Returns the time from the last sending to the first part of the response, or to now if none was recorded. */
    long firstMs(long nowMs) {
        return firstByteAtMs > 0 ? Math.max(0, firstByteAtMs - sentAtMs) : totalMs(nowMs);
    }

    /** Returns the time since the last sending. */
    long totalMs(long nowMs) {
        return nowMs - sentAtMs;
    }

    void onSent(Decision.Send decision, long nowMs) {
        sends++;
        sentAtMs = nowMs;
        instance = decision.endpoint().id().value();
    }

    void onFirstByte(long nowMs) {
        if (firstByteAtMs == 0) {
            firstByteAtMs = nowMs;
        }
    }

    /** Records how the end of an event stream is marked. */
    void onStream(BodyFraming framing) {
        streamFraming = Optional.of(framing);
    }

    /** Records the number of bytes after the last complete event of an ended stream. */
    void onStreamEnd(int bytes) {
        partialEventBytes = bytes;
    }

    /** Records an event whose id was not after the one before; the first one of a call is kept. */
    void onDisorder(EventDisorder found) {
        disorder = disorder.or(() -> Optional.of(found));
    }

    /** Records an event that is not a part of its stream; the first one of a call is kept. */
    void onInvalidEvent(InvalidEvent found) {
        invalidEvent = invalidEvent.or(() -> Optional.of(found));
    }

    /** Records that the connection to an endpoint ended before its response. */
    void onResponseLost() {
        responseLost = true;
        digest = view.digest();
    }

    void addNote(String text) {
        if (notes.length() < MAX_NOTES_LENGTH) {
            notes.append(notes.length() == 0 ? "" : ",").append(text);
        }
    }

    private static String shortened(EventId id) {
        return id.text().substring(0, Math.min(id.text().length(), MAX_EVENT_ID_LENGTH));
    }

    private static String partIds(ModelDemand demand) {
        return demand.sharedParts().stream().map(part -> part.id().value()).collect(Collectors.joining(","));
    }

    /** Logs a call that is open while its entry stops: its line is missing if the process ends before the call. */
    void logOpen(EventLog log, CallStage stage, long nowMs) {
        LogLine line = log.event("call-open")
                .with("request", id)
                .with("route", view.route().name())
                .with("stage", stage)
                .with("age_ms", nowMs - view.arrivedAtMs());
        if (sends > 0) {
            line.with("instance", instance).with("sent_ms_ago", nowMs - sentAtMs);
        }
        line.write();
    }

    /**
     * Logs that an endpoint has been silent for longer than the limit for a call that may be repeated.
     *
     * @param silentMs the limit
     * @param begun whether a part of the response was passed on
     * @param givenUp whether the attempt is given up for another one
     */
    void logSilence(EventLog log, GatewayMetrics metrics, long silentMs, boolean begun, boolean givenUp) {
        metrics.count(givenUp ? "silent_attempts_given_up" : "silent_attempts_kept");
        log.event("endpoint-silent")
                .with("request", id)
                .with("instance", instance)
                .with("silent_ms", silentMs)
                .with("begun", begun)
                .with("given_up", givenUp)
                .write();
    }

    void write(EventLog log, GatewayMetrics metrics, ResultCode code, int status, long nowMs) {
        LogLine line = log.event("call")
                .with("request", id)
                .with("route", view.route().name())
                .with("service", view.service())
                .with("config", configurationVersion)
                .with("code", code.number())
                .with("status", status)
                .with("sends", sends)
                .with("total_ms", nowMs - view.arrivedAtMs());
        view.team().ifPresent(team -> line.with("team", team.name()));
        view.demand().ifPresent(demand -> line.with("model", demand.variant()).with("prompt", demand.promptTokens()));
        if (sends > 0) {
            line.with("instance", instance).with("waited_ms", sentAtMs - view.arrivedAtMs());
        }
        if (!waitedFor.isEmpty()) {
            line.with("waited_for", waitedFor);
        }
        shortage.ifPresent(found -> line.with("lacked", found));
        if (promisedAtMs > 0) {
            line.with("promised_ms", promisedAtMs - view.arrivedAtMs());
        }
        if (startPredictedAtMs > 0) {
            line.with("start_predicted_ms", startPredictedAtMs - view.arrivedAtMs());
        }
        if (retryAfterMs > 0) {
            line.with("come_back_ms", retryAfterMs);
        }
        if (promiseBroken(code)) {
            line.with("promise", "broken");
            metrics.count("promises_broken");
        }
        if (firstByteAtMs > 0) {
            line.with("first_ms", firstByteAtMs - view.arrivedAtMs());
        }
        streamFraming.ifPresent(framing -> line.with("framing", framing));
        view.streamVersion().ifPresent(version -> line.with("stream_version", version));
        if (partialEventBytes > 0) {
            line.with("partial_event_bytes", partialEventBytes);
        }
        if (disorder.isPresent()) {
            line.with("out_of_order", shortened(disorder.get().received()))
                    .with("after", shortened(disorder.get().last()));
            metrics.count("streams_out_of_order");
        }
        if (invalidEvent.isPresent()) {
            line.with("invalid_event", invalidEvent.get().defect());
            invalidEvent.get().last().ifPresent(last -> line.with("last_event", shortened(last)));
            metrics.count("streams_with_invalid_events");
        }
        digest.ifPresent(known -> line.with("digest", known));
        if (responseLost) {
            view.demand().ifPresent(demand -> line.with("shared_parts", partIds(demand)));
        }
        if (notes.length() > 0) {
            line.with("notes", notes);
        }
        line.write();
        long firstByteMs = firstByteAtMs > 0 ? firstByteAtMs - view.arrivedAtMs() : -1;
        metrics.onCall(view.service(), code, firstByteMs, nowMs - view.arrivedAtMs());
    }
}
