package org.hawthornglade.gateway.peer;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.hawthornglade.protocol.gen.peer.PeerMessage;

/** A connection between two entries that carries frames in both directions. */
final class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> implements PlacementPublisher.Follower {
    private static final int MAX_FRAME_BYTES = 4_194_304;
    private static final int LENGTH_BYTES = 4;

    /** Receives the events of a connection, on the event loop. */
    interface Listener {
        /** Handles the opened connection; frames can be sent from now on. */
        void onOpen(PeerChannel channel);

        /** Handles a message. */
        void onMessage(PeerChannel channel, PeerMessage message);

        /** Handles the end of the connection. */
        void onClosed(PeerChannel channel);
    }

    private final Listener listener;
    private Channel channel;

    private PeerChannel(Listener listener) {
        super(ByteBuf.class);
        this.listener = listener;
    }

    /** Installs the handlers of a connection. */
    static void install(Channel channel, Listener listener) {
        PeerChannel peer = new PeerChannel(listener);
        peer.channel = channel;
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        new LengthFieldPrepender(LENGTH_BYTES),
                        peer);
    }

    /**
     * Sends a frame, or drops it if the peer reads too slowly; a later frame contains the same information.
     *
     * @return whether it was sent
     */
    @Override
    @CanIgnoreReturnValue
    public boolean send(byte[] frame) {
        if (!channel.isWritable()) {
            return false;
        }
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame)).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        return true;
    }

    /** Returns whether a frame that is sent now is not dropped. */
    boolean writable() {
        return channel.isWritable();
    }

    void close() {
        channel.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        listener.onOpen(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        listener.onMessage(this, PeerCodec.decode(ByteBufUtil.getBytes(frame)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close();
    }
}
