package org.hawthornglade.gateway.http;

/**
 * The id by which a response is matched to its request.
 *
 * @param header the name of the header that carries the id
 * @param id the expected id
 */
public record ExpectedResponseId(String header, String id) {}
