package org.hawthornglade.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the idle timeout of the peer from its Keep-Alive header. */
final class KeepAliveHeader {
    private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    private KeepAliveHeader() {}

    static OptionalInt timeoutSeconds(HttpHeaders headers) {
        String value = headers.get("Keep-Alive");
        if (value == null) {
            return OptionalInt.empty();
        }
        Matcher matcher = TIMEOUT.matcher(value);
        return matcher.find() ? OptionalInt.of(Integer.parseInt(matcher.group(1))) : OptionalInt.empty();
    }
}
