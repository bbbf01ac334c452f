package org.hawthornglade.gateway.http;

/**
 * The header by which a response names the request that it answers.
 *
 * @param header the header's name
 * @param id the id that it must hold
 */
public record ExpectedResponseId(String header, String id) {}
