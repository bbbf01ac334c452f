package org.hawthornglade.app;

/** What the process ends with. */
public enum ExitCode {
    OK(0),
    /** The command could not be completed. */
    FAILED(1),
    /** The command line was wrong. */
    USAGE(2),
    /** The system refused what was asked, and nothing took effect. */
    REFUSED(3),
    /** It is not known whether what was asked took effect. */
    UNKNOWN(4),
    /** The command runs on in threads of its own. */
    RUNNING(-1);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    public int number() {
        return number;
    }
}
