package org.hawthornglade.app.load;

import java.net.URI;
import java.util.Map;

/**
 * A request with all its content, ready to be sent.
 *
 * @param arrival the arrival that it is sent for
 * @param method the HTTP method
 * @param uri the target
 * @param headers the HTTP headers
 * @param body the body; empty for none
 * @param prompt the prompt in the body; empty for a plain service
 * @param idempotencyKey the idempotency key; null if the call may be repeated
 */
record PlannedRequest(
        Arrival arrival,
        String method,
        URI uri,
        Map<String, String> headers,
        String body,
        String prompt,
        String idempotencyKey) {}
