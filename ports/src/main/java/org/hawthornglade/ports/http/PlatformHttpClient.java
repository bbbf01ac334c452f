package org.hawthornglade.ports.http;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * Makes all HTTP calls of a process to the platform and to engines, over pooled connections.
 *
 * <p>Never repeats a call: only the caller knows whether it may be repeated.
 */
public final class PlatformHttpClient implements AutoCloseable {
    /** The header with the retry-after time in milliseconds, next to the standard header in seconds. */
    public static final String RETRY_AFTER_MS_HEADER = "X-Retry-After-Ms";

    private static final String RETRY_AFTER_HEADER = "Retry-After";
    private static final long DEFAULT_RETRY_AFTER_MS = 1_000;
    private static final long MAX_RETRY_AFTER_MS = 600_000;
    private static final long MS_PER_SECOND = 1_000;
    private static final int MAX_BODY_CHARS = 64 * 1024 * 1024;
    private static final int MAX_CONNECTIONS = 512;
    private static final int VALIDATE_AFTER_IDLE_MS = 500;

    private final CloseableHttpClient client;

    /** Creates a client; it opens connections when they are first needed. */
    public PlatformHttpClient(PlatformHttpSettings settings) {
        this.client = HttpClients.custom()
                .setConnectionManager(connectionManager(settings))
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setConnectionRequestTimeout(Timeout.ofMilliseconds(settings.poolTimeoutMs()))
                        .setResponseTimeout(Timeout.ofMilliseconds(settings.responseTimeoutMs()))
                        .build())
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .build();
    }

    private static PoolingHttpClientConnectionManager connectionManager(PlatformHttpSettings settings) {
        return PoolingHttpClientConnectionManagerBuilder.create()
                .setMaxConnPerRoute(settings.maxConnectionsPerHost())
                .setMaxConnTotal(MAX_CONNECTIONS)
                .setDefaultConnectionConfig(ConnectionConfig.custom()
                        .setConnectTimeout(Timeout.ofMilliseconds(settings.connectTimeoutMs()))
                        .setSocketTimeout(Timeout.ofMilliseconds(settings.responseTimeoutMs()))
                        .setValidateAfterInactivity(TimeValue.ofMilliseconds(VALIDATE_AFTER_IDLE_MS))
                        .build())
                .build();
    }

    /** Makes a GET call, which changes nothing; see {@link #call} for the failures. */
    public Either<Failure, HttpReply> get(URI uri) {
        return call("GET", uri, null, CallEffect.NONE);
    }

    /** Posts JSON that may change something; see {@link #call} for the failures. */
    public Either<Failure, HttpReply> post(URI uri, String json) {
        return call("POST", uri, json, CallEffect.CHANGE);
    }

    /**
     * Makes one call.
     *
     * <p>Left: PLATFORM_UNAVAILABLE (nothing was sent, or nothing could change, or status 503),
     * PLATFORM_RATE_LIMITED (status 429) or PLATFORM_OUTCOME_UNKNOWN (a call that may change something, without a
     * complete response or with another 5xx status). Right: any other status.
     *
     * @param method the HTTP method
     * @param uri the address
     * @param json the body; null for none
     * @param effect whether the call may change something
     */
    public Either<Failure, HttpReply> call(String method, URI uri, String json, CallEffect effect) {
        HttpUriRequestBase request = new HttpUriRequestBase(method, uri);
        if (json != null) {
            request.setEntity(new StringEntity(json, ContentType.APPLICATION_JSON));
        }
        try {
            return client.execute(request, response -> interpret(response, effect));
        } catch (IOException e) {
            return Either.left(failure(e, effect));
        }
    }

    private static Either<Failure, HttpReply> interpret(ClassicHttpResponse response, CallEffect effect)
            throws IOException {
        int status = response.getCode();
        String body = body(response);
        if (status == HttpStatus.SC_TOO_MANY_REQUESTS) {
            return Either.left(Failure.retryAfter(
                    ResultCode.PLATFORM_RATE_LIMITED,
                    "the platform limits the rate of calls: status 429",
                    retryAfterMs(response)));
        }
        if (status == HttpStatus.SC_SERVICE_UNAVAILABLE) {
            return Either.left(Failure.retryAfter(
                    ResultCode.PLATFORM_UNAVAILABLE,
                    "the platform is unavailable: status 503",
                    retryAfterMs(response)));
        }
        if (status >= HttpStatus.SC_SERVER_ERROR) {
            return Either.left(incomplete(effect, "status " + status));
        }
        return Either.right(new HttpReply(status, body));
    }

    private static String body(ClassicHttpResponse response) throws IOException {
        if (response.getEntity() == null) {
            return "";
        }
        try {
            String body = EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8, MAX_BODY_CHARS);
            return body == null ? "" : body;
        } catch (ParseException e) {
            throw new IOException(e);
        }
    }

    private static long retryAfterMs(HttpMessage response) {
        long exactMs = headerNumber(response.getFirstHeader(RETRY_AFTER_MS_HEADER));
        if (exactMs >= 0) {
            return Math.min(exactMs, MAX_RETRY_AFTER_MS);
        }
        long seconds = headerNumber(response.getFirstHeader(RETRY_AFTER_HEADER));
        if (seconds < 0) {
            return DEFAULT_RETRY_AFTER_MS;
        }
        return Math.min(seconds, MAX_RETRY_AFTER_MS / MS_PER_SECOND) * MS_PER_SECOND;
    }

    private static long headerNumber(Header header) {
        if (header == null) {
            return -1;
        }
        try {
            return Long.parseLong(header.getValue().trim());
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static Failure failure(IOException e, CallEffect effect) {
        if (nothingSent(e)) {
            return unavailable(e.getMessage());
        }
        return incomplete(effect, String.valueOf(e.getMessage()));
    }

    /** Returns whether no connection was made, so that nothing was sent; also true after a connect time-out. */
    private static boolean nothingSent(IOException e) {
        return e instanceof ConnectException
                || e instanceof org.apache.hc.client5.http.ConnectTimeoutException
                || e instanceof ConnectionRequestTimeoutException
                || e instanceof NoRouteToHostException
                || e instanceof UnknownHostException;
    }

    private static Failure incomplete(CallEffect effect, String cause) {
        if (effect == CallEffect.NONE) {
            return unavailable(cause);
        }
        return Failure.retryAfter(
                ResultCode.PLATFORM_OUTCOME_UNKNOWN, "no complete response: " + cause, DEFAULT_RETRY_AFTER_MS);
    }

    private static Failure unavailable(String cause) {
        return Failure.retryAfter(
                ResultCode.PLATFORM_UNAVAILABLE, "the platform is not reachable: " + cause, DEFAULT_RETRY_AFTER_MS);
    }

    /** Closes all connections. */
    @Override
    public void close() {
        client.close(org.apache.hc.core5.io.CloseMode.IMMEDIATE);
    }
}
