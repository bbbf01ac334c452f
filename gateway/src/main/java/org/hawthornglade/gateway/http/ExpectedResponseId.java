package org.hawthornglade.gateway.http;

import java.util.Optional;

/**
 * The id by which a response is matched to its request.
 *
 * <p>If a request has no id, a response that names one answers another request. A response that names none could be a
 * copy, so that its connection is not used again.
 *
 * @param header the name of the header that carries the id
 * @param id the expected id; empty if the response must not name a request
 */
public record ExpectedResponseId(String header, Optional<String> id) {
    /** Creates the id of a request that has one. */
    public ExpectedResponseId(String header, String id) {
        this(header, Optional.of(id));
    }

    /** Returns the expectation that the response names no request in a header. */
    public static ExpectedResponseId none(String header) {
        return new ExpectedResponseId(header, Optional.empty());
    }
}
