package org.hawthornglade.app;

import java.io.PrintStream;

/** A command of the command line; JCommander sets its parameters before it runs. */
public interface Command {
    /** Returns the name of the command on the command line. */
    String name();

    /**
     * Runs the command.
     *
     * @param out receives the results; diagnostic messages go to the standard error stream
     * @return the exit code of the process
     * @throws Exception if the command cannot be completed; the message is printed and the process exits with
     *     {@link ExitCode#FAILED}
     */
    ExitCode run(PrintStream out) throws Exception;
}
