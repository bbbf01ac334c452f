package org.hawthornglade.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.HttpRequest;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hawthornglade.gateway.http.UnfinishedRequest.End;

/** What one caller has not received yet of the responses on its connection. */
final class ResponseDelivery {
    private final Channel channel;
    private final Consumer<CutResponse> onCut;
    private final UnreadBytes unread = new UnreadBytes();
    private final UnsentResponses unsent = new UnsentResponses();

    /**
     * Creates the delivery on a connection that has no responses yet.
     *
     * @param onCut receives the complete responses that the end of the connection or of the process cuts off
     */
    ResponseDelivery(Channel channel, Consumer<CutResponse> onCut) {
        this.channel = channel;
        this.onCut = onCut;
    }

    /** Returns how many bytes of responses are not handed to the system. */
    long pendingBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Checks the bytes of responses that the caller has not read; returns how many. */
    long checkUnread(long nowMs) {
        return unread.onChecked(pendingBytes(), nowMs);
    }

    /** Returns since when the caller has read none of the bytes of responses that are due to it. */
    long unreadSinceMs() {
        return unread.sinceMs();
    }

    /**
     * Adds a response that is complete here, until it is handed to the system.
     *
     * @param head its request
     * @param written ends when it is handed to the system, or cannot be
     * @param reason returns why the connection has ended, if it cannot be
     */
    void add(HttpRequest head, ChannelFuture written, Supplier<End> reason) {
        unsent.add(head, written, () -> onCut.accept(new CutResponse(head, reason.get(), pendingBytes())));
    }

    /** Reports the last response if the end of the process cuts it off. */
    void reportCutByStop() {
        unsent.last().ifPresent(head -> onCut.accept(new CutResponse(head, End.CUT_BY_STOP, pendingBytes())));
    }
}
