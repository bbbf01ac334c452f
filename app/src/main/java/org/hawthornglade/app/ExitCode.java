package org.hawthornglade.app;

/** Exit code of the process. */
public enum ExitCode {
    OK(0),
    /** The command could not be completed. */
    FAILED(1),
    /** The command line was wrong. */
    USAGE(2),
    /** The system rejected the request, and nothing took effect. */
    REFUSED(3),
    /** It is unknown whether the request took effect. */
    UNKNOWN(4),
    /** The command keeps running in its own threads, and the process does not exit. */
    RUNNING(-1);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    public int number() {
        return number;
    }
}
