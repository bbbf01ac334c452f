package org.hawthornglade.ports.http;

/**
 * A response that was received completely.
 *
 * @param status the HTTP status
 * @param body the body as text; empty if there was none
 */
public record HttpReply(int status, String body) {
    private static final int OK_MIN = 200;
    private static final int OK_MAX = 299;

    /** Returns whether the status is a success. */
    public boolean ok() {
        return status >= OK_MIN && status <= OK_MAX;
    }
}
