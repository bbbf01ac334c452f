package org.hawthornglade.entry.caller;

import jakarta.ws.rs.core.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.hawthornglade.protocol.gen.Header;

/** The headers of callers. */
final class CallerHeaders {
    static final String DEADLINE = "X-Deadline-Ms";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final Set<String> NOT_PASSED = Set.of(
            "authorization",
            "connection",
            "keep-alive",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "host",
            "content-length",
            "content-type",
            "accept-encoding",
            "expect",
            "proxy-authorization",
            "proxy-connection",
            "x-request-id",
            "x-deadline-ms");

    private CallerHeaders() {}

    /** Returns the headers to pass on: all but those of the connection and those meant for the entry. */
    static List<Header> passed(HttpHeaders headers) {
        List<Header> passed = new ArrayList<>();
        headers.getRequestHeaders().forEach((name, values) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!NOT_PASSED.contains(lower) && !lower.startsWith("x-hg-")) {
                passed.add(new Header(name, String.join(", ", values)));
            }
        });
        return passed;
    }
}
