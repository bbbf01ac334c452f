package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.hawthornglade.core.id.RequestDigest;
import org.hawthornglade.gateway.http.IncomingCall;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestDigesterTest {
    private static final RequestDigest KNOWN = digest("GET", "h.example", "/read/x?page=1", "body", "r-1");

    private static IncomingCall call(String method, String host, String uri, String body, String id) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri);
        head.headers().set("Host", host).set("X-Request-Id", id);
        return new IncomingCall(head, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8), null, 0, false);
    }

    private static RequestDigest digest(String method, String host, String uri, String body, String id) {
        return RequestDigester.digest(call(method, host, uri, body, id)).orElseThrow();
    }

    /** A request that comes again has another id, and a sound one that resembles it must not share its digest. */
    @ParameterizedTest
    @CsvSource({
        "GET, h.example, /read/x?page=1, body, r-2, true",
        "GET, H.example, /read/x?page=1, body, r-1, true",
        "POST, h.example, /read/x?page=1, body, r-1, false",
        "GET, i.example, /read/x?page=1, body, r-1, false",
        "GET, h.example, /read/x?page=2, body, r-1, false",
        "GET, h.example, /read/x?page=1b, ody, r-1, false",
        "GET, h.example, /read/x?page=1, '', r-1, false",
    })
    void digestTellsRequestsApartByWhatStaysTheSame(
            String method, String host, String uri, String body, String id, boolean same) {
        assertThat(digest(method, host, uri, body, id).equals(KNOWN)).isEqualTo(same);
    }

    @Test
    void requestWhoseBodyIsReleasedHasNoDigest() {
        IncomingCall call = call("GET", "h.example", "/read/x", "body", "r-1");
        call.body().release();
        assertThat(RequestDigester.digest(call)).isEqualTo(Optional.empty());
    }
}
