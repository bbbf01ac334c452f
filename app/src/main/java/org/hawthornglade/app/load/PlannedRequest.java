package org.hawthornglade.app.load;

import java.net.URI;
import java.util.Map;

/**
 * A request as it goes out.
 *
 * @param arrival why it is sent
 * @param method the HTTP method
 * @param uri where to
 * @param headers its headers
 * @param body its body
 * @param prompt the prompt in it; empty for a plain service
 * @param idempotencyKey its key; null if it may be repeated
 */
record PlannedRequest(
        Arrival arrival,
        String method,
        URI uri,
        Map<String, String> headers,
        String body,
        String prompt,
        String idempotencyKey) {}
