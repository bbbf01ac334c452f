package org.hawthornglade.app.operator;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.Timeout;

/** Calls the operator API of an entry. */
final class OperatorHttp {
    static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private static final int RESPONSE_TIMEOUT_MS = 30_000;

    private final OperatorOptions options;

    OperatorHttp(OperatorOptions options) {
        this.options = options;
    }

    OperatorResponse get(String path) throws IOException {
        return send(new HttpUriRequestBase("GET", URI.create(options.entry() + path)));
    }

    OperatorResponse post(String path, String body) throws IOException {
        HttpUriRequestBase request = new HttpUriRequestBase("POST", URI.create(options.entry() + path));
        request.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
        return send(request);
    }

    /** Percent-encodes a path segment or query value. */
    static String encode(String text) {
        return URLEncoder.encode(text, UTF_8).replace("+", "%20");
    }

    static <T> T parse(JsonNode body, Class<T> type) throws JsonProcessingException {
        return MAPPER.treeToValue(body, type);
    }

    private OperatorResponse send(HttpUriRequestBase request) throws IOException {
        request.setHeader("Authorization", "Bearer " + options.token());
        RequestConfig config = RequestConfig.custom()
                .setResponseTimeout(Timeout.ofMilliseconds(RESPONSE_TIMEOUT_MS))
                .build();
        try (CloseableHttpClient client = HttpClients.custom()
                .setDefaultRequestConfig(config)
                .disableAutomaticRetries()
                .build()) {
            return client.execute(request, OperatorHttp::parseResponse);
        }
    }

    private static OperatorResponse parseResponse(ClassicHttpResponse response) throws IOException {
        try {
            String text = EntityUtils.toString(response.getEntity(), UTF_8);
            return new OperatorResponse(response.getCode(), MAPPER.readTree(text));
        } catch (org.apache.hc.core5.http.ParseException e) {
            throw new IOException("the response of the entry cannot be parsed", e);
        }
    }
}
