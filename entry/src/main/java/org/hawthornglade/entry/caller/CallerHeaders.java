package org.hawthornglade.entry.caller;

import jakarta.ws.rs.core.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.hawthornglade.protocol.gen.Header;

/** The headers of callers. */
final class CallerHeaders {
    static final String DEADLINE = "X-Deadline-Ms";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final Set<String> NOT_FORWARDED = Set.of(
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
    static List<Header> forwarded(HttpHeaders headers) {
        List<Header> passed = new ArrayList<>();
        Set<String> ofConnection = connectionHeaders(headers);
        headers.getRequestHeaders().forEach((name, values) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!NOT_FORWARDED.contains(lower) && !lower.startsWith("x-hg-") && !ofConnection.contains(lower)) {
                passed.add(new Header(name, String.join(", ", values)));
            }
        });
        return passed;
    }

    /** Returns the headers that the sender calls its connection's own. */
    private static Set<String> connectionHeaders(HttpHeaders headers) {
        Set<String> names = new HashSet<>();
        List<String> values = headers.getRequestHeader("Connection");
        if (values != null) {
            for (String value : values) {
                for (String name : value.split(",", -1)) {
                    names.add(name.strip().toLowerCase(Locale.ROOT));
                }
            }
        }
        return names;
    }
}
