package org.hawthornglade.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects a head that begins with a part of one response and continues with another one.
 *
 * <p>Such a head has the status of the first and the headers of the second; the status line of the second stands in a
 * header or in the reason phrase.
 */
final class JoinedHeads {
    private static final String HTTP_VERSION = "HTTP/1.";
    /** In each form that the decoder accepts. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/[0-9]+\\.[0-9]+[ \t]+[0-9]{3}", Pattern.CASE_INSENSITIVE);

    private JoinedHeads() {}

    /** Returns whether a head contains a second status line. */
    static boolean isJoined(HttpResponse head) {
        if (hasStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (header.getKey().contains(HTTP_VERSION) || hasStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasStatusLine(String text) {
        return text.indexOf('/') >= 0 && STATUS_LINE.matcher(text).find();
    }
}
