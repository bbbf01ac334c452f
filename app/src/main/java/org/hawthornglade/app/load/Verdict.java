package org.hawthornglade.app.load;

/**
 * What became of a request.
 *
 * @param kind the kind of end
 * @param code the numbered result code of a refusal; 0 if it named none
 * @param reportedNotRun whether the answer says that the request was not run
 * @param detail more for a person; empty if there is nothing to say
 */
record Verdict(Kind kind, int code, boolean reportedNotRun, String detail) {
    /** The kinds of ends. */
    enum Kind {
        /** Answered whole, to its own request. */
        WHOLE,
        /** Answered as a success, but not whole or not to its own request. */
        WRONG,
        /** An error with a result code. */
        REFUSED,
        /** No answer, or one that broke off before its end mark. */
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
