package org.hawthornglade.app.process;

/** One request of a soak and what its caller has seen; times are in milliseconds on one clock. */
final class SoakRequest {
    final String id;
    final SoakKind kind;
    final int entry;
    /** When the first byte was sent; 0 before. */
    long startedMs;
    /** When the last byte was sent; 0 before. */
    long sentMs;
    /** When the response was complete or the connection ended. */
    long endedMs;
    /** The status of the response; 0 if no head was received. */
    int status;
    /** Whether the response was received whole. */
    boolean whole;

    SoakRequest(String id, SoakKind kind, int entry) {
        this.id = id;
        this.kind = kind;
        this.entry = entry;
    }

    @Override
    public String toString() {
        return kind + " " + id + " at entry " + entry + ", began " + startedMs + ", sent " + sentMs + ", ended "
                + endedMs + ", status " + status + (whole ? "" : ", cut");
    }
}
