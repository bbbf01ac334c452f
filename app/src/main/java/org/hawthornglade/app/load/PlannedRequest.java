package org.hawthornglade.app.load;

import java.net.URI;
import java.util.Map;

/**
 * A request with all its content, ready to be sent.
 *
 * @param arrival the due time, flow and sequence number that the request was planned from
 * @param method the HTTP method
 * @param uri the target
 * @param headers the HTTP headers
 * @param body the body; empty for none
 * @param prompt the prompt in the body; empty if the request calls a service instead of a model
 * @param idempotencyKey the idempotency key; null for a chat request and for an idempotent call
 */
record PlannedRequest(
        Arrival arrival,
        String method,
        URI uri,
        Map<String, String> headers,
        String body,
        String prompt,
        String idempotencyKey) {}
