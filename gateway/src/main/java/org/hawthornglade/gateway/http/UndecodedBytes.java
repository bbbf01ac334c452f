package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Passes received bytes to the decoder in slices, as long as the connection may hold more requests.
 *
 * <p>One read brings up to 64 KiB, which are some thousand short requests; all of them would be decoded at once.
 */
final class UndecodedBytes extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;
    private ChannelHandlerContext context;
    private ByteBuf held;
    private boolean resuming;

    UndecodedBytes(CallerConnection connection) {
        this.connection = connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext reader, Object message) {
        ByteBuf received = (ByteBuf) message;
        held = held == null ? received : Unpooled.wrappedBuffer(held, received);
        decode();
    }

    /** Returns whether bytes wait to be decoded. */
    boolean isHolding() {
        return held != null;
    }

    /** Continues to decode; by a task, because the caller may be in the middle of a response. */
    void resume() {
        if (held == null || resuming || !connection.decodesOn()) {
            return;
        }
        resuming = true;
        context.executor().execute(() -> {
            resuming = false;
            decode();
            context.fireChannelReadComplete();
        });
    }

    private void decode() {
        while (held != null && connection.decodesOn()) {
            int sliceBytes = Math.min(connection.sliceBytes(), held.readableBytes());
            ByteBuf slice = held.readRetainedSlice(sliceBytes);
            if (!held.isReadable()) {
                release();
            }
            connection.onBytesReceived(sliceBytes);
            context.fireChannelRead(slice);
        }
        connection.onDecoded();
    }

    private void release() {
        if (held != null) {
            held.release();
            held = null;
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext removed) {
        release();
    }
}
