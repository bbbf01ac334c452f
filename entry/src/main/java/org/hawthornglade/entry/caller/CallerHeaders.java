package org.hawthornglade.entry.caller;

import jakarta.ws.rs.core.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.hawthornglade.protocol.gen.Header;

/** Handles the headers of callers' requests. */
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

    /** Returns the headers to forward: all but hop-by-hop headers and those meant for the entry. */
    static List<Header> forwarded(HttpHeaders headers) {
        List<Header> forwarded = new ArrayList<>();
        Set<String> hopByHop = connectionHeaders(headers);
        headers.getRequestHeaders().forEach((name, values) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!NOT_FORWARDED.contains(lower) && !lower.startsWith("x-hg-") && !hopByHop.contains(lower)) {
                forwarded.add(new Header(name, String.join(", ", values)));
            }
        });
        return forwarded;
    }

    /** Returns the names of the headers that the Connection header declares as hop-by-hop. */
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
