package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.SendPermission;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.notice.EndpointNotices;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;
import org.hawthornglade.gateway.http.AnswerId;
import org.hawthornglade.gateway.http.OutboundConnection;
import org.hawthornglade.gateway.http.OutboundFailure;
import org.hawthornglade.gateway.http.OutboundRequest;
import org.hawthornglade.gateway.http.ResponseListener;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.port.AnswerHead;
import org.hawthornglade.gateway.port.AttemptHead;

/** One sending of a call to one endpoint. */
final class Attempt implements ResponseListener {
    private static final int USUAL_ANSWER_BYTES = 1_024;
    /** A repeatable call is taken elsewhere when its endpoint is silent for longer than this share of the target. */
    private static final double SILENCE_SHARE = 0.8;
    /** The shortest such silence. */
    private static final long MIN_SILENCE_MS = 150;
    /** How many times the allowed pause between events an endpoint may be silent within a stream. */
    private static final int GAP_FACTOR = 2;

    private final ExchangeContext context;
    private final Exchange exchange;
    private final Endpoint endpoint;
    private final Optional<Variant> variant;
    private final long kvTokens;
    private final int prefillTokens;
    private SendPermission right;
    private OutboundConnection connection;
    private HttpResponse head;
    private long sentAtMs;
    private EndpointNotices notices;
    private AnswerHead answerHead;
    private ByteBuf held = Unpooled.buffer(USUAL_ANSWER_BYTES);
    private EventSplitter events;
    private Timers.Timeout silence;
    private int heldBytes;
    private long passedBytes;
    private boolean passing;
    private boolean prefilled;
    private boolean over;

    Attempt(ExchangeContext context, Exchange exchange, Endpoint endpoint, int cachedTokens) {
        this.context = context;
        this.exchange = exchange;
        this.endpoint = endpoint;
        Optional<ModelDemand> demand = exchange.view().demand();
        this.variant = demand.map(d -> new Variant(d.model(), d.adapter()));
        this.kvTokens = demand.map(ModelDemand::kvTokens).orElse(0L);
        this.prefillTokens =
                demand.map(d -> Math.max(0, d.promptTokens() - cachedTokens)).orElse(0);
    }

    void start() {
        right = new SendPermission(endpoint, context.clock().nowMs());
        endpoint.load().begin(variant, kvTokens, prefillTokens);
        boolean sendOnce = !exchange.view().route().repeatable();
        context.links()
                .pool(endpoint.record())
                .acquire(sendOnce, kept -> !exchange.usedConnection(kept), this::connected, cause -> notConnected());
    }

    /** Returns whether the endpoint may have received the call. */
    boolean sent() {
        return connection != null;
    }

    private void notConnected() {
        if (over) {
            return;
        }
        finish();
        endpoint.health().onUnreachable(context.clock().nowMs());
        exchange.notConnected(endpoint);
    }

    private void connected(OutboundConnection ready) {
        if (over) {
            ready.cancel();
            return;
        }
        if (!right.valid(context.clock().nowMs())) {
            ready.cancel();
            finish();
            exchange.turnedAway(endpoint);
            return;
        }
        connection = ready;
        exchange.uses(ready);
        long timeLeftMs =
                Math.max(1, exchange.view().remainingMs(context.clock().nowMs()));
        AttemptHead attemptHead = new AttemptHead(
                endpoint.id(), timeLeftMs, exchange.view().route().priority(), exchange.resumeFrom());
        HttpHeaders headers =
                context.protocol().attemptHeaders(exchange.call().head().headers(), attemptHead);
        ByteBuf body = exchange.call().body().retainedDuplicate();
        OutboundRequest request = new OutboundRequest(
                exchange.call().head().method(),
                exchange.call().head().uri(),
                headers,
                body,
                Optional.of(new AnswerId(
                        context.protocol().requestIdHeader(),
                        exchange.request().id().value())));
        watchSilence(firstSilenceMs());
        sentAtMs = context.clock().nowMs();
        notices = endpoint.notices();
        ready.send(request, this);
    }

    private long firstSilenceMs() {
        Route route = exchange.view().route();
        return Math.max(MIN_SILENCE_MS, Math.round(route.targetMs() * SILENCE_SHARE));
    }

    private void watchSilence(long limitMs) {
        Route route = exchange.view().route();
        if (silence != null) {
            silence.cancel();
        }
        if (route.repeatable()) {
            silence = context.timers().after(limitMs, this::silent);
        }
    }

    /** A silent call goes on to wait where it is while it may not run elsewhere. */
    private void silent() {
        if (over || !exchange.mayRunElsewhere()) {
            return;
        }
        giveUp(OutboundFailure.TIMED_OUT);
    }

    /** Gives up on the attempt; the endpoint learns it by the end of the connection. */
    void cancel() {
        if (over) {
            return;
        }
        finish();
        if (connection != null) {
            connection.cancel();
        }
    }

    @Override
    public void onHead(HttpResponse received) {
        if (over) {
            return;
        }
        head = received;
        answerHead = context.protocol().readAnswer(received);
        long nowMs = context.clock().nowMs();
        noteWhatItSays(nowMs);
        answerHead
                .load()
                .ifPresent(load -> endpoint.load()
                        .updateOthers(
                                load.running()
                                        + load.waiting()
                                        - endpoint.load().ownRequests(),
                                nowMs));
        if (answerHead.success() && !answerHead.proven()) {
            giveUp(OutboundFailure.MALFORMED);
            return;
        }
        if (answerHead.success() && answerHead.eventStream()) {
            events = new EventSplitter(exchange.resumeFrom());
            exchange.answer().onWritable(this::keepPace);
        }
    }

    /** Takes note of what the endpoint says; what may be the word of another instance or start of it is left aside. */
    private void noteWhatItSays(long nowMs) {
        Optional<InstanceId> instance = answerHead.instance();
        boolean ofInstance = instance.map(endpoint.id()::equals).orElse(!answerHead.misdirected());
        boolean ofStart = notices == endpoint.notices();
        if (ofInstance && ofStart) {
            context.notices().take(endpoint, answerHead, exchange.request().id(), sentAtMs, nowMs);
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        if (over) {
            return;
        }
        if (events != null) {
            passEvents(content);
        } else if (passing) {
            passPiece(content);
        } else {
            hold(content);
        }
    }

    private void giveUp(OutboundFailure failure) {
        connection.cancel();
        onFailure(failure);
    }

    private void passEvents(ByteBuf content) {
        ByteBuf whole = events.add(content);
        if (!whole.isReadable()) {
            whole.release();
            if (events.bufferedBytes() > HeldBytes.MAX_EVENT_BYTES) {
                giveUp(OutboundFailure.ENDLESS);
            }
            return;
        }
        prefilled();
        exchange.record().firstByte(context.clock().nowMs());
        watchSilence(Math.max(MIN_SILENCE_MS, exchange.view().route().gapTargetMs() * GAP_FACTOR));
        pass(whole);
        exchange.answer().streamedUpTo(events.lastId());
    }

    private void pass(ByteBuf piece) {
        exchange.answer().stream(head, piece);
        keepPace();
    }

    private void keepPace() {
        if (!over && connection != null) {
            connection.reading(exchange.answer().writable());
        }
    }

    private void passPiece(ByteBuf content) {
        passedBytes += content.readableBytes();
        if (!HttpUtil.isContentLengthSet(head) && passedBytes > HeldBytes.MAX_UNSIZED_BYTES) {
            giveUp(OutboundFailure.ENDLESS);
            return;
        }
        pass(content.retainedSlice());
    }

    private void hold(ByteBuf content) {
        int bytes = content.readableBytes();
        if (context.held().take(heldBytes, bytes)) {
            heldBytes += bytes;
            held.writeBytes(content);
            return;
        }
        if (!answerHead.success()) {
            giveUp(OutboundFailure.ENDLESS);
            return;
        }
        passing = true;
        exchange.answer().onWritable(this::keepPace);
        pass(held);
        passPiece(content);
    }

    private void prefilled() {
        if (prefilled) {
            return;
        }
        prefilled = true;
        endpoint.load().endPrefill(prefillTokens);
        exchange.view()
                .demand()
                .ifPresent(demand -> endpoint.prefixCache().add(demand.variant(), demand.prefix()));
    }

    @Override
    public void onEnd() {
        if (over) {
            return;
        }
        finish();
        long nowMs = context.clock().nowMs();
        if (answerHead.notRun()) {
            exchange.rejected(endpoint, answerHead);
            return;
        }
        noteHealth(nowMs);
        if (events != null) {
            endStream();
            return;
        }
        endWhole();
    }

    private void noteHealth(long nowMs) {
        if (answerHead.status() >= 500) {
            endpoint.health().onFailure(nowMs);
        } else {
            endpoint.health().onSuccess(nowMs);
        }
    }

    private void endStream() {
        exchange.answer().stream(head, events.remainder());
        exchange.answer().finish();
        exchange.countRun();
        exchange.answered(answerHead.status());
    }

    private void endWhole() {
        exchange.countRun();
        if (passing) {
            exchange.answer().finish();
            exchange.answered(answerHead.status());
            return;
        }
        boolean failedRun = answerHead.status() >= 500;
        if (failedRun && exchange.view().route().kind() == CallKind.SAFE && exchange.mayRunAgain()) {
            held.release();
            exchange.runAgain(endpoint, answerHead.status());
            return;
        }
        if (answerHead.promisesNotRun()) {
            held.release();
            exchange.answeredUnclearly(answerHead.status());
            return;
        }
        exchange.record().firstByte(context.clock().nowMs());
        exchange.answer().sendWhole(head, held);
        exchange.answered(answerHead.status());
    }

    @Override
    public void onFailure(OutboundFailure failure) {
        if (over) {
            return;
        }
        finish();
        long nowMs = context.clock().nowMs();
        if (failure == OutboundFailure.TIMED_OUT || failure == OutboundFailure.CLOSED) {
            endpoint.health().onResponseLost(nowMs);
        } else {
            endpoint.health().onFailure(nowMs);
        }
        exchange.failed(endpoint, failure);
    }

    private void finish() {
        over = true;
        if (silence != null) {
            silence.cancel();
        }
        if (!prefilled) {
            endpoint.load().endPrefill(prefillTokens);
        }
        context.held().release(heldBytes);
        heldBytes = 0;
        endpoint.load().end(variant, kvTokens);
    }
}
