package org.hawthornglade.app.process;

/** What a request of a soak is like. */
enum SoakKind {
    SMALL("/post/x", 10, 1, 0, 100, 4, 0),
    REPEATABLE("/read/x", 10, 1, 0, 400, 4, 0),
    PIECED("/post/x", 18_000, 6, 150, 100, 4, 0),
    SLOW_BODY("/post/x", 2_000, 5, 900, 50, 4, 0),
    LARGE_BODY("/read/x", 90_000, 10, 5, 50, 4, 0),
    SLOW_READER("/read/x", 10, 1, 0, 50, 9_000_000, 4_000),
    STREAM("/review/x", 18_000, 3, 20, 2_500, 0, 0),
    /** Outlasts the grace of a stop, and pauses between its events for longer than an entry expects. */
    LONG_STREAM("/review/x", 18_000, 3, 20, 10_000, 0, 0);

    private static final String LONG_ROUTE = "/review/";
    private static final long TIMEOUT_MS = 5_000;
    private static final long LONG_TIMEOUT_MS = 11_000;

    final String path;
    final int bodyBytes;
    final int pieces;
    /** The pause after each piece but the last, at most. */
    final int pieceGapMs;
    /** How long the server works, at most. */
    final int workMs;

    final int responseBytes;
    /** How long the caller takes to read the response. */
    final int readMs;

    SoakKind(String path, int bodyBytes, int pieces, int pieceGapMs, int workMs, int responseBytes, int readMs) {
        this.path = path;
        this.bodyBytes = bodyBytes;
        this.pieces = pieces;
        this.pieceGapMs = pieceGapMs;
        this.workMs = workMs;
        this.responseBytes = responseBytes;
        this.readMs = readMs;
    }

    /** Returns the timeout of the route. */
    long timeoutMs() {
        return path.startsWith(LONG_ROUTE) ? LONG_TIMEOUT_MS : TIMEOUT_MS;
    }
}
