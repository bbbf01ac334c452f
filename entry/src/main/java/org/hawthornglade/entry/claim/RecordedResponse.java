package org.hawthornglade.entry.claim;

/**
 * A response that is recorded with its claim and returned again when the call is repeated.
 *
 * @param status its HTTP status
 * @param contentType its content type; null if it has none
 * @param body its body
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record RecordedResponse(int status, String contentType, byte[] body) {}
