package org.hawthornglade.gateway.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the requests of a connection, so that each response can be attributed to the one that it answers.
 *
 * <p>Whether a response has a body depends on the method of that request, which need not be the newest one.
 */
final class SentRequests {
    /** The most ids of earlier requests that are remembered; a response is not repeated after so many others. */
    private static final int MAX_IDS = 256;

    private final Map<String, HttpMethod> methods = new LinkedHashMap<>();
    private Optional<ExpectedResponseId> newestId = Optional.empty();
    private HttpMethod newestMethod = HttpMethod.GET;
    private boolean headSent;

    /** Adds a request that is about to be sent. */
    void add(HttpMethod method, Optional<ExpectedResponseId> id) {
        newestMethod = method;
        newestId = id;
        headSent |= method.equals(HttpMethod.HEAD);
        id.flatMap(ExpectedResponseId::id).ifPresent(named -> remember(named, method));
    }

    private void remember(String id, HttpMethod method) {
        methods.put(id, method);
        if (methods.size() > MAX_IDS) {
            methods.remove(methods.keySet().iterator().next());
        }
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
