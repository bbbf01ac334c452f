package org.hawthornglade.gateway.json;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.InputStream;

/** Parses JSON that other processes send; bytes after the value, or a field that is there twice, make it malformed. */
public final class StrictJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private StrictJson() {}

    /**
     * Parses the one value that a stream holds; a missing node if it is empty.
     *
     * @throws IOException if the stream holds anything else
     */
    public static JsonNode parse(InputStream in) throws IOException {
        return MAPPER.readTree(in);
    }

    /**
     * Parses the one value that the bytes hold; a missing node if there are none.
     *
     * @throws IOException if the bytes hold anything else
     */
    public static JsonNode parse(byte[] bytes) throws IOException {
        return MAPPER.readTree(bytes);
    }
}
