package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.IntSupplier;

/** Limits each read of a connection to what it may hold at that moment. */
final class LimitedReads implements RecvByteBufAllocator {
    private final AdaptiveRecvByteBufAllocator adaptive;
    private final IntSupplier maxBytes;

    LimitedReads(AdaptiveRecvByteBufAllocator adaptive, IntSupplier maxBytes) {
        this.adaptive = adaptive;
        this.maxBytes = maxBytes;
    }

    @Override
    public LimitedHandle newHandle() {
        return new LimitedHandle(adaptive, maxBytes);
    }

    /** Limits the reads of one connection. */
    static final class LimitedHandle extends DelegatingHandle {
        private final IntSupplier maxBytes;

        private LimitedHandle(AdaptiveRecvByteBufAllocator adaptive, IntSupplier maxBytes) {
            super(adaptive.newHandle());
            this.maxBytes = maxBytes;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public int guess() {
            return Math.min(delegate().guess(), maxBytes.getAsInt());
        }
    }
}
