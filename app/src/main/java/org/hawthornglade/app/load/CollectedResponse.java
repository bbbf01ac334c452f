package org.hawthornglade.app.load;

/**
 * What came back for a request.
 *
 * @param status the HTTP status; 0 if no answer began
 * @param body the body as text, as far as it came
 * @param firstByteNanos when its first byte came, on the run's own time; 0 if none came
 * @param endNanos when it ended or broke, on the run's own time
 * @param failure what broke it; null if it ended
 */
record CollectedResponse(int status, String body, long firstByteNanos, long endNanos, String failure) {}
