package org.hawthornglade.gateway.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the requests of a connection, so that each response can be attributed to the one that it answers.
 *
 * <p>Whether a response has a body depends on the method of that request, which need not be the newest one. The digests
 * of the bodies tell whether a late copy is complete: one that was cut off takes the next response for its rest.
 */
final class SentRequests {
    /** The most requests of a connection, all of whose ids are remembered. */
    static final int MAX_REQUESTS = 256;

    private final Map<String, HttpMethod> methods = new HashMap<>();
    private final Map<String, BodyDigest.Value> bodies = new HashMap<>();
    private Optional<ExpectedResponseId> newestId = Optional.empty();
    private HttpMethod newestMethod = HttpMethod.GET;
    private boolean headSent;
    private int count;

    /** Adds a request that is about to be sent. */
    void add(HttpMethod method, Optional<ExpectedResponseId> id) {
        count++;
        newestMethod = method;
        newestId = id;
        headSent |= method.equals(HttpMethod.HEAD);
        id.flatMap(ExpectedResponseId::id).ifPresent(named -> methods.put(named, method));
    }

    /** Returns whether there was a request before the newest one, a copy of whose response may arrive. */
    boolean severalSent() {
        return count > 1;
    }

    /** Remembers the body of the complete response to the newest request. */
    void onResponse(BodyDigest.Value body) {
        newestId.flatMap(ExpectedResponseId::id).ifPresent(named -> bodies.put(named, body));
    }

    /** Returns whether a copy of an earlier response has another body than the response had. */
    boolean bodyDiffers(HttpMessage copy, BodyDigest.Value body) {
        return idOf(copy)
                .filter(this::contains)
                .filter(id -> !body.equals(bodies.get(id)))
                .isPresent();
    }

    /** Returns whether the connection has carried as many requests as it may. */
    boolean isFull() {
        return methods.size() >= MAX_REQUESTS;
    }

    /** Returns whether a request with this id was sent. */
    boolean contains(String id) {
        return methods.containsKey(id);
    }

    /** Returns the id that a response names; empty if it names none, or if the peer repeats no ids. */
    Optional<String> idOf(HttpMessage response) {
        return newestId.map(expected -> response.headers().get(expected.header()));
    }

    /** Returns whether a response answers the newest request, or cannot be told from one that does. */
    boolean answersNewest(HttpMessage response) {
        return newestId.isEmpty() || idOf(response).equals(newestId.get().id());
    }

    /** Returns whether a copy of the newest response could be told from the response to a later request. */
    boolean copyRecognisable() {
        return newestId.isEmpty() || newestId.get().id().isPresent();
    }

    /** Returns the method of the request that a response answers; empty if it names a request that is not known. */
    Optional<HttpMethod> methodOf(HttpMessage response) {
        if (answersNewest(response)) {
            return Optional.of(newestMethod);
        }
        return idOf(response).map(methods::get);
    }

    /** Returns whether it cannot be known whether a response has a body. */
    boolean bodyUnknown(HttpMessage response) {
        return headSent && methodOf(response).isEmpty();
    }
}
