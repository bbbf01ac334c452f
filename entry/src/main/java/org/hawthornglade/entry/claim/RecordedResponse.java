package org.hawthornglade.entry.claim;

/**
 * An answer that is given again to who repeats a call.
 *
 * @param status its HTTP status
 * @param contentType its content type; null if it has none
 * @param body its body
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record RecordedResponse(int status, String contentType, byte[] body) {}
