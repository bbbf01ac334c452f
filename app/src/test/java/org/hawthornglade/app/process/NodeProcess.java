package org.hawthornglade.app.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of the system, started by a test and ended by its id. */
final class NodeProcess implements AutoCloseable {
    private static final List<String> JVM_FLAGS =
            List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k");
    private static final int EXIT_TIMEOUT_S = 60;

    private final ProcessBuilder builder;
    private Process process;

    /**
     * Starts a process.
     *
     * @param role the command
     * @param settings its settings file
     * @param environment what the settings take from the environment
     * @param log takes its output
     */
    NodeProcess(String role, Path settings, Map<String, String> environment, File log) throws IOException {
        this(List.of(role, settings.toString()), environment, log);
    }

    /**
     * Starts a process.
     *
     * @param arguments the command and its arguments
     * @param environment what the settings take from the environment
     * @param log takes its output
     */
    NodeProcess(List<String> arguments, Map<String, String> environment, File log) throws IOException {
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new java.util.ArrayList<>(List.of(java));
        command.addAll(JVM_FLAGS);
        command.addAll(List.of("-cp", classPath, "org.hawthornglade.app.Main"));
        command.addAll(arguments);
        builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().putAll(environment);
        start();
    }

    /** Starts the process anew after it has ended. */
    void start() throws IOException {
        process = builder.start();
    }

    /** Ends the process at once, as kill -9 does, and waits until it is gone. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Asks the process to stop. */
    void terminate() {
        process.destroy();
    }

    /** Returns the exit status; fails if the process does not end. */
    int awaitExit() throws InterruptedException {
        if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new AssertionError("the process does not end");
        }
        return process.exitValue();
    }

    /** Freezes the process. */
    void freeze() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** Lets a frozen process go on. */
    void resume() throws IOException, InterruptedException {
        signal("-CONT");
    }

    /** Tells the process to read its settings again. */
    void hangUp() throws IOException, InterruptedException {
        signal("-HUP");
    }

    private void signal(String name) throws IOException, InterruptedException {
        int status = new ProcessBuilder("kill", name, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (status != 0) {
            throw new AssertionError("kill " + name + " failed with " + status);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() throws InterruptedException {
        kill();
    }
}
