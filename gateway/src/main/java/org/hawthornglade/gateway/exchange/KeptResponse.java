package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/**
 * Keeps the response of a failed run while its call is tried at another endpoint.
 *
 * <p>Its memory is part of the budget for buffered responses; without such memory nothing is kept.
 */
final class KeptResponse {
    private final ResponseBufferBudget budget;
    private Optional<HttpResponse> head = Optional.empty();
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private int reservedBytes;

    KeptResponse(ResponseBufferBudget budget) {
        this.budget = budget;
    }

    /** Keeps a response instead of the one before, and takes over its body. */
    void keep(HttpResponse responseHead, ByteBuf responseBody) {
        release();
        int bytes = responseBody.readableBytes();
        if (!budget.tryReserve(0, bytes)) {
            responseBody.release();
            return;
        }
        reservedBytes = bytes;
        head = Optional.of(responseHead);
        body = responseBody;
    }

    boolean present() {
        return head.isPresent();
    }

    /**
     * Sends the response, if one is kept and no other was begun.
     *
     * @return its status; empty if nothing was sent
     */
    Optional<Integer> sendTo(ResponseWriter response) {
        if (head.isEmpty() || response.started()) {
            return Optional.empty();
        }
        HttpResponse kept = head.get();
        response.send(kept, body.retain());
        release();
        return Optional.of(kept.status().code());
    }

    /** Releases the memory of a response that is not needed any more. */
    void release() {
        head = Optional.empty();
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        budget.release(reservedBytes);
        reservedBytes = 0;
    }
}
