package org.hawthornglade.gateway.http;

import java.util.Optional;

/**
 * A response that does not belong, or not only, to the open request of its connection.
 *
 * @param reason why it does not belong to the request
 * @param status its HTTP status
 * @param requestId the request that it names, if it names one
 */
public record UnexpectedResponse(Reason reason, int status, Optional<String> requestId) {
    /** Why a response does not belong to the open request. */
    public enum Reason {
        /** It answers an earlier request of the connection. */
        EARLIER_REQUEST,
        /** It names a request that this connection does not remember. */
        UNKNOWN_REQUEST,
        /** It names no request although the peer repeats the ids of requests. */
        NO_ID,
        /** No request was open. */
        NO_OPEN_REQUEST,
        /** Its head begins with a part of another response. */
        JOINED_HEAD,
        /** It has another body than the earlier response that it repeats. */
        OTHER_BODY
    }
}
