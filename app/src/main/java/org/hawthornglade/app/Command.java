package org.hawthornglade.app;

import java.io.PrintStream;

/** One command of the command line; JCommander fills its parameters before it runs. */
public interface Command {
    /** Returns the name by which it is called. */
    String name();

    /**
     * Runs the command.
     *
     * @param out takes its results; messages for people go to the standard error stream
     * @return what the process ends with
     * @throws Exception if it cannot be completed; the message is shown and the process ends with
     *     {@link ExitCode#FAILED}
     */
    ExitCode run(PrintStream out) throws Exception;
}
