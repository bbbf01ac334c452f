package org.hawthornglade.app.load;

/**
 * A response as collected, which may be incomplete.
 *
 * @param status the HTTP status; 0 if no response began
 * @param body the body as text, as far as it was received
 * @param firstByteNanos receipt of the first body byte, in nanoseconds from the start of the run; 0 if none
 * @param endNanos end or failure of the response, in nanoseconds from the start of the run
 * @param failure the error that ended the response; null if it ended regularly
 */
record CollectedResponse(int status, String body, long firstByteNanos, long endNanos, String failure) {}
