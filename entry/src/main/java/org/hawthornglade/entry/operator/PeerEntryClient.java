package org.hawthornglade.entry.operator;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.Optional;
import org.apache.hc.client5.http.classic.HttpClient;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.hawthornglade.core.instance.InstanceInfo;

/** Queries other entries for their local state, with the token of the requesting operator. */
public final class PeerEntryClient {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private final HttpClient http;

    /** Creates a client; {@code http} must have a short timeout. */
    public PeerEntryClient(HttpClient http) {
        this.http = http;
    }

    /** Returns an entry's response; empty if the entry does not respond in time or fails. */
    public <T> Optional<T> fetch(InstanceInfo entry, String path, String authorization, TypeReference<T> type) {
        HttpGet request = new HttpGet("http://" + entry.host() + ":" + entry.httpPort() + path);
        request.setHeader(HttpHeaders.AUTHORIZATION, authorization);
        try {
            return http.execute(request, response -> read(response, type));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static <T> Optional<T> read(ClassicHttpResponse response, TypeReference<T> type) throws IOException {
        if (response.getCode() != HttpStatus.SC_OK) {
            EntityUtils.consume(response.getEntity());
            return Optional.empty();
        }
        return Optional.of(MAPPER.readValue(response.getEntity().getContent(), type));
    }
}
