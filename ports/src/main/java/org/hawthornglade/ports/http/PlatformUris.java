package org.hawthornglade.ports.http;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Builds the URIs of platform calls from a base URI that may have a path. */
public final class PlatformUris {
    private PlatformUris() {}

    /**
     * Appends a path to a base URI.
     *
     * @param base with or without a trailing slash
     * @param path begins with a slash; already encoded
     */
    public static URI resolve(URI base, String path) {
        String text = base.toString();
        return URI.create((text.endsWith("/") ? text.substring(0, text.length() - 1) : text) + path);
    }

    /** Percent-encodes one path segment or query value; a slash is encoded too. */
    public static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
