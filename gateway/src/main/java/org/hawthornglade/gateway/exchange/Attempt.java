package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.SendPermission;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.notice.EndpointNotices;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.gateway.http.BodyFraming;
import org.hawthornglade.gateway.http.ExpectedResponseId;
import org.hawthornglade.gateway.http.OutboundConnection;
import org.hawthornglade.gateway.http.OutboundFailure;
import org.hawthornglade.gateway.http.OutboundRequest;
import org.hawthornglade.gateway.http.ResponseListener;
import org.hawthornglade.gateway.port.AttemptParameters;
import org.hawthornglade.gateway.port.ResponseHead;

/** One attempt to run a call at one endpoint. */
final class Attempt implements ResponseListener {
    private static final int INITIAL_BUFFER_BYTES = 1_024;

    private final ExchangeContext context;
    private final Exchange exchange;
    private final Endpoint endpoint;
    /** The record of the moment of choice. */
    private final InstanceRecord chosen;

    private final AttemptLoad load;
    private final StartConfirmation startConfirmation;
    private final SilenceWatch silence;
    private SendPermission sendPermission;
    private PaceMeasurement pace;
    private OutboundConnection connection;
    private HttpResponse head;
    private long sentAtMs;
    private EndpointNotices notices;
    private ResponseHead responseHead;
    private ByteBuf buffered = Unpooled.buffer(INITIAL_BUFFER_BYTES);
    private ReceivedEvents events;
    private int reservedBytes;
    private long forwardedBytes;
    private boolean forwarding;
    private boolean ended;

    Attempt(ExchangeContext context, Exchange exchange, Endpoint endpoint, int cachedTokens) {
        this.context = context;
        this.exchange = exchange;
        this.endpoint = endpoint;
        this.chosen = endpoint.record();
        this.load = new AttemptLoad(endpoint, exchange.view(), cachedTokens);
        this.startConfirmation = new StartConfirmation(context, exchange.view(), endpoint, chosen);
        this.silence = new SilenceWatch(context, exchange, endpoint, () -> abandon(OutboundFailure.TIMED_OUT));
    }

    void start() {
        sendPermission = new SendPermission(endpoint, context.clock().nowMs());
        load.begin();
        pace = new PaceMeasurement(
                context, exchange.view(), endpoint, context.clock().nowMs());
        boolean sendOnce = !exchange.view().route().repeatable();
        context.connections()
                .pool(chosen)
                .acquire(
                        sendOnce,
                        idle -> !idle.hasSent(exchange.request().id().value()),
                        this::onConnected,
                        cause -> onConnectFailed());
    }

    /** Returns whether the endpoint may have received the call. */
    boolean sent() {
        return connection != null;
    }

    private void onConnectFailed() {
        if (ended) {
            return;
        }
        finish();
        endpoint.health().onUnreachable(context.clock().nowMs());
        endpoint.startDoubt().onSign();
        pace.onUnreachable(context.clock().nowMs());
        exchange.onConnectFailed(endpoint);
    }

    private void onConnected(OutboundConnection opened) {
        if (ended) {
            opened.cancel();
            return;
        }
        startConfirmation.confirm(opened, result -> onStartChecked(opened, result));
    }

    private void onStartChecked(OutboundConnection opened, StartCheck.Result result) {
        if (ended) {
            opened.cancel();
            return;
        }
        if (result != StartCheck.Result.SAME && !restarted()) {
            opened.cancel();
            finish();
            exchange.onStartUnconfirmed(endpoint, result);
            return;
        }
        sendOver(opened);
    }

    private void sendOver(OutboundConnection opened) {
        if (!opened.isOpen()
                || restarted()
                || !versionListed()
                || !sendPermission.valid(context.clock().nowMs())) {
            opened.cancel();
            finish();
            exchange.onEndpointUnavailable(endpoint);
            return;
        }
        connection = opened;
        long remainingMs =
                Math.max(1, exchange.view().remainingMs(context.clock().nowMs()));
        AttemptParameters parameters = new AttemptParameters(
                endpoint.id(),
                remainingMs,
                exchange.view().priority(),
                exchange.resumeFrom(),
                exchange.view().caller());
        HttpHeaders headers =
                context.protocol().attemptHeaders(exchange.call().head().headers(), parameters);
        ByteBuf body = exchange.call().body().retainedDuplicate();
        OutboundRequest request = new OutboundRequest(
                exchange.call().head().method(),
                exchange.call().head().uri(),
                headers,
                body,
                Optional.of(new ExpectedResponseId(
                        context.protocol().requestIdHeader(),
                        exchange.request().id().value())));
        silence.startBeforeResponse();
        sentAtMs = context.clock().nowMs();
        pace.onSent(sentAtMs);
        notices = endpoint.notices();
        opened.send(request, this);
    }

    /** Returns whether the instance has started again, possibly with other software, while a connection was opened. */
    private boolean restarted() {
        return endpoint.record().bornMs() != chosen.bornMs();
    }

    private boolean versionListed() {
        CallView view = exchange.view();
        return view.route().kind() != CallKind.STREAM
                || context.resumption().gate().listed(view.service(), chosen.softwareVersion());
    }

    /** Cancels the attempt; closing the connection notifies the endpoint. */
    void cancel() {
        if (ended) {
            return;
        }
        finish();
        if (connection != null) {
            connection.cancel();
        }
    }

    @Override
    public void onHead(HttpResponse received) {
        if (ended) {
            return;
        }
        head = received;
        responseHead = context.protocol().readResponse(received);
        long nowMs = context.clock().nowMs();
        handleNotices(nowMs);
        pace.onHead(responseHead, nowMs);
        responseHead
                .load()
                .ifPresent(load -> endpoint.load()
                        .updateOthers(load.requests() - endpoint.load().ownRequests(), nowMs));
        if (responseHead.isSuccess() && (!responseHead.signed() || responseHead.notRun())) {
            abandon(OutboundFailure.MALFORMED);
            return;
        }
        boolean stream = isStream();
        if (exchange.response().started() && !stream && !responseHead.notRun()) {
            abandon(OutboundFailure.NOT_RESUMED);
            return;
        }
        if (stream) {
            events = new ReceivedEvents(context.protocol().eventRule(), exchange.resumeFrom(), context.bufferBudget());
            exchange.record().onStream(BodyFraming.of(received));
            exchange.response().onWritable(this::applyBackpressure);
        }
    }

    /**
     * Returns whether the body is read as events.
     *
     * <p>The route decides it: what an endpoint calls its response does not make it one.
     */
    private boolean isStream() {
        boolean bodiless =
                HttpMethod.HEAD.equals(exchange.call().head().method()) || BodyFraming.of(head) == BodyFraming.NONE;
        return exchange.view().route().kind() == CallKind.STREAM && responseHead.isSuccess() && !bodiless;
    }

    /** Handles the notices in the response, unless another instance or another start of it may have sent them. */
    private void handleNotices(long nowMs) {
        Optional<InstanceId> instance = responseHead.instance();
        boolean sameInstance = instance.map(endpoint.id()::equals).orElse(!responseHead.misdirected());
        boolean sameStart = notices == endpoint.notices();
        if (sameInstance && sameStart) {
            context.noticeHandler()
                    .handle(endpoint, responseHead, exchange.request().id(), sentAtMs, nowMs);
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        if (ended) {
            return;
        }
        if (events != null) {
            forwardEvents(content);
        } else if (forwarding) {
            forwardPiece(content);
        } else {
            buffer(content);
        }
    }

    private void abandon(OutboundFailure failure) {
        connection.cancel();
        onFailure(failure);
    }

    private void forwardEvents(ByteBuf content) {
        ByteBuf complete = events.add(content);
        if (complete.isReadable()) {
            forwardComplete(complete);
        } else {
            complete.release();
        }
        if (!ended) {
            events.failure().ifPresent(this::abandon);
        }
    }

    private void forwardComplete(ByteBuf complete) {
        load.onPrefillDone();
        pace.onEvents(context.clock().nowMs());
        exchange.onEvents(chosen.softwareVersion());
        silence.startBetweenEvents();
        forward(complete);
        exchange.response().setLastEventId(events.lastId());
    }

    private void forward(ByteBuf piece) {
        exchange.response().stream(head, piece);
        applyBackpressure();
    }

    /** Reads from the endpoint only while the caller reads; an endpoint that is not read is not silent. */
    private void applyBackpressure() {
        if (ended || connection == null) {
            return;
        }
        boolean reading = exchange.response().writable();
        connection.setReading(reading);
        if (!reading) {
            silence.cancel();
        } else if (events != null && load.prefillDone()) {
            silence.startBetweenEvents();
        }
    }

    private void forwardPiece(ByteBuf content) {
        forwardedBytes += content.readableBytes();
        if (!HttpUtil.isContentLengthSet(head) && forwardedBytes > ResponseBufferBudget.MAX_UNSIZED_RESPONSE_BYTES) {
            abandon(OutboundFailure.ENDLESS);
            return;
        }
        forward(content.retainedSlice());
    }

    private void buffer(ByteBuf content) {
        int bytes = content.readableBytes();
        if (context.bufferBudget().tryReserve(reservedBytes, bytes)) {
            reservedBytes += bytes;
            buffered.writeBytes(content);
            return;
        }
        if (!responseHead.isSuccess()) {
            abandon(OutboundFailure.ENDLESS);
            return;
        }
        forwarding = true;
        // From here on the response cannot come from elsewhere.
        silence.cancel();
        exchange.response().onWritable(this::applyBackpressure);
        forward(buffered);
        forwardPiece(content);
    }

    @Override
    public void onEnd() {
        if (ended) {
            return;
        }
        if (events != null && !endEvents()) {
            return;
        }
        if (!endsWithConnection()) {
            complete();
            return;
        }
        silence.cancel();
        ResponseEndCheck check = events != null
                ? ResponseEndCheck.ofStream(context, endpoint, chosen, this::onEndChecked)
                : ResponseEndCheck.ofResponse(context, endpoint, chosen, this::onEndChecked);
        check.start();
    }

    /** Returns whether the response is a success whose end looks the same if its instance has failed. */
    private boolean endsWithConnection() {
        boolean bodiless = HttpMethod.HEAD.equals(exchange.call().head().method());
        return responseHead.isSuccess()
                && !responseHead.notRun()
                && !bodiless
                && BodyFraming.of(head) == BodyFraming.CONNECTION;
    }

    /** Passes on what stands after the last event; returns whether the stream has ended properly. */
    private boolean endEvents() {
        ByteBuf rest = events.endOfStream();
        Optional<OutboundFailure> failure = events.failure();
        if (failure.isPresent() || streamBrokenOff()) {
            rest.release();
            abandon(failure.orElse(OutboundFailure.BROKEN_OFF));
            return false;
        }
        forward(rest);
        return true;
    }

    private void onEndChecked(boolean crashed) {
        if (ended) {
            return;
        }
        if (crashed) {
            abandon(OutboundFailure.BROKEN_OFF);
            return;
        }
        complete();
    }

    private void complete() {
        finish();
        long nowMs = context.clock().nowMs();
        pace.onCompleted(responseHead, nowMs);
        if (responseHead.notRun()) {
            exchange.onRejected(endpoint, responseHead);
            return;
        }
        recordHealth(nowMs);
        if (events != null) {
            endStream();
            return;
        }
        endResponse();
    }

    /**
     * Returns whether the response is a stream that ended inside an event, or with its connection before any event.
     *
     * <p>The end of a connection looks the same whether the endpoint has finished or failed.
     */
    private boolean streamBrokenOff() {
        boolean noEvents = !load.prefillDone();
        return events.insideEvent() || (noEvents && BodyFraming.of(head) == BodyFraming.CONNECTION);
    }

    private void recordHealth(long nowMs) {
        if (responseHead.status() >= 500) {
            endpoint.health().onFailure(nowMs);
        } else {
            endpoint.health().onSuccess(nowMs);
        }
    }

    private void endStream() {
        exchange.response().stream(head, Unpooled.EMPTY_BUFFER);
        exchange.response().finish();
        exchange.countRun();
        exchange.onCompleted(responseHead.status());
    }

    private void endResponse() {
        exchange.countRun();
        if (forwarding) {
            exchange.response().finish();
            exchange.onCompleted(responseHead.status());
            return;
        }
        boolean failedRun = responseHead.status() >= 500;
        if (failedRun && exchange.view().route().kind() == CallKind.SAFE && exchange.tryAcquireRetry()) {
            exchange.retryAfterFailure(endpoint, responseHead, head, buffered);
            return;
        }
        if (responseHead.impliesNotRun()) {
            buffered.release();
            exchange.onAmbiguousRefusal(responseHead.status());
            return;
        }
        exchange.record().onFirstByte(context.clock().nowMs());
        exchange.response().send(head, buffered);
        exchange.onCompleted(responseHead.status());
    }

    @Override
    public void onFailure(OutboundFailure failure) {
        if (ended) {
            return;
        }
        finish();
        long nowMs = context.clock().nowMs();
        pace.onFailed(failure, nowMs);
        if (failure == OutboundFailure.CLOSED || failure == OutboundFailure.BROKEN_OFF) {
            endpoint.startDoubt().onSign();
        }
        if (failure == OutboundFailure.TIMED_OUT || failure == OutboundFailure.CLOSED) {
            endpoint.health().onResponseLost(nowMs);
        } else {
            endpoint.health().onFailure(nowMs);
        }
        exchange.onAttemptFailed(endpoint, failure, sentAtMs);
    }

    private void finish() {
        ended = true;
        if (events != null) {
            events.end(exchange.record());
        }
        silence.cancel();
        context.bufferBudget().release(reservedBytes);
        reservedBytes = 0;
        load.end();
        pace.onEnded();
    }
}
