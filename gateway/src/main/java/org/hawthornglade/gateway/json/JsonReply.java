package org.hawthornglade.gateway.json;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response to a JSON call.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body its JSON body; a missing node if there was none, or if that of an error is not JSON
 */
public record JsonReply(int status, HttpHeaders headers, JsonNode body) {}
