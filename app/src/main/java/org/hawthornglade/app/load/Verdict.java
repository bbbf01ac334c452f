package org.hawthornglade.app.load;

/**
 * The outcome of a request.
 *
 * @param kind the kind of outcome
 * @param code the result code of an error response; 0 if it has none
 * @param reportedNotRun whether the response reports that the request was not run
 * @param detail a description for the report; empty for none
 */
record Verdict(Kind kind, int code, boolean reportedNotRun, String detail) {
    /** The kinds of outcomes. */
    enum Kind {
        /** A complete response that belongs to the request. */
        WHOLE,
        /** A successful response that is incomplete or belongs to another request. */
        WRONG,
        /** An error response, usually with a result code. */
        REFUSED,
        /** No response, or one that broke off before its end marker. */
        LOST
    }

    static Verdict whole() {
        return new Verdict(Kind.WHOLE, 0, false, "");
    }

    static Verdict wrong(String detail) {
        return new Verdict(Kind.WRONG, 0, false, detail);
    }

    static Verdict lost(String detail) {
        return new Verdict(Kind.LOST, 0, false, detail);
    }
}
