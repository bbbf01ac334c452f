package org.hawthornglade.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import org.hawthornglade.gateway.memory.BodyReservation;

/**
 * The body of a request that is being read, in pieces of which only the first grows by copies.
 *
 * <p>A single buffer would grow by copies, and would take up to twice the memory of its bytes.
 */
final class RequestBody {
    private static final int FIRST_PIECE_BYTES = 1_024;
    private static final int PIECE_BYTES = 65_536;

    private final ByteBufAllocator allocator;
    private final BodyReservation reservation;
    private CompositeByteBuf full;
    private ByteBuf piece;
    private final long announcedBytes;
    private long bytes;

    /**
     * Creates a body of which nothing is received.
     *
     * @param announcedBytes its length; 0 if it is not announced
     */
    RequestBody(ByteBufAllocator allocator, BodyReservation reservation, long announcedBytes) {
        this.allocator = allocator;
        this.reservation = reservation;
        this.announcedBytes = announcedBytes;
    }

    long announcedBytes() {
        return announcedBytes;
    }

    /** Returns how many of the announced bytes are not received. */
    long lackingBytes() {
        return announcedBytes - bytes;
    }

    BodyReservation reservation() {
        return reservation;
    }

    long bytes() {
        return bytes;
    }

    /** Adds bytes for which memory is reserved. */
    void add(ByteBuf content) {
        bytes += content.readableBytes();
        while (content.isReadable()) {
            if (piece == null) {
                piece = allocator.directBuffer(full == null ? FIRST_PIECE_BYTES : PIECE_BYTES, PIECE_BYTES);
            }
            piece.writeBytes(content, Math.min(content.readableBytes(), piece.maxWritableBytes()));
            if (piece.maxWritableBytes() == 0) {
                keepPiece();
            }
        }
    }

    /** Counts bytes that are not kept. */
    void skip(int skippedBytes) {
        bytes += skippedBytes;
    }

    private void keepPiece() {
        if (full == null) {
            full = allocator.compositeDirectBuffer(Integer.MAX_VALUE);
        }
        full.addComponent(true, piece);
        piece = null;
    }

    /** Returns the complete body, which the caller must release, and keeps its reservation. */
    ByteBuf complete() {
        reservation.complete();
        if (full == null) {
            return piece == null ? Unpooled.EMPTY_BUFFER : piece;
        }
        if (piece != null) {
            keepPiece();
        }
        return full;
    }

    /** Releases a body that is not read to its end. */
    void discard() {
        if (piece != null) {
            piece.release();
            piece = null;
        }
        if (full != null) {
            full.release();
            full = null;
        }
        reservation.release();
    }
}
