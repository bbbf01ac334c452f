package org.hawthornglade.gateway.http;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;

/** The responses of one connection that are complete here and not handed to the system. */
final class UnsentResponses {
    private Optional<HttpRequest> last = Optional.empty();
    private int count;

    /**
     * Adds a response, until it is written.
     *
     * @param head its request
     * @param written ends when it is handed to the system, or cannot be
     * @param onCut called if it cannot be handed to the system
     */
    void add(HttpRequest head, ChannelFuture written, Runnable onCut) {
        last = Optional.of(head);
        count++;
        written.addListener(done -> {
            if (!done.isSuccess()) {
                onCut.run();
            }
            count--;
            if (count == 0) {
                last = Optional.empty();
            }
        });
    }

    /** Returns the request of the response that was added last; empty if all are written. */
    Optional<HttpRequest> last() {
        return last;
    }
}
