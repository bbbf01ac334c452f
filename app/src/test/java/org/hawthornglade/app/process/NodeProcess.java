package org.hawthornglade.app.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the system, started by a test and signalled by its process id. */
final class NodeProcess implements AutoCloseable {
    static final List<String> JVM_FLAGS = List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k");
    private static final int EXIT_TIMEOUT_S = 60;

    private final ProcessBuilder builder;
    private Process process;

    /**
     * Starts a process.
     *
     * @param role the command to run
     * @param settings the settings file
     * @param environment the environment variables that the settings refer to
     * @param log the file that the output is appended to
     */
    NodeProcess(String role, Path settings, Map<String, String> environment, File log) throws IOException {
        this(List.of(role, settings.toString()), environment, log);
    }

    /**
     * Starts a process.
     *
     * @param arguments the command and its arguments
     * @param environment the environment variables that the settings refer to
     * @param log the file that the output is appended to
     */
    NodeProcess(List<String> arguments, Map<String, String> environment, File log) throws IOException {
        this(JVM_FLAGS, arguments, environment, log);
    }

    /**
     * Starts a process.
     *
     * @param jvmFlags the flags of its JVM
     * @param arguments the command and its arguments
     * @param environment the environment variables that the settings refer to
     * @param log the file that the output is appended to
     */
    NodeProcess(List<String> jvmFlags, List<String> arguments, Map<String, String> environment, File log)
            throws IOException {
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new java.util.ArrayList<>(List.of(java));
        command.addAll(jvmFlags);
        command.addAll(List.of("-cp", classPath, "org.hawthornglade.app.Main"));
        command.addAll(arguments);
        builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().putAll(environment);
        start();
    }

    /** Starts the process, also again after it has ended. */
    void start() throws IOException {
        process = builder.start();
    }

    /** Kills the process, as kill -9 does, and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Requests a graceful stop by SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Waits for the end of the process and returns its exit status; fails if it does not end in time. */
    int awaitExit() throws InterruptedException {
        if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new AssertionError("the process did not end within " + EXIT_TIMEOUT_S + " s");
        }
        return process.exitValue();
    }

    /** Waits for the end of the process; returns false if it does not end in time. */
    boolean awaitExit(long timeoutMs) throws InterruptedException {
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Freezes the process by SIGSTOP. */
    void freeze() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** Resumes a frozen process by SIGCONT. */
    void resume() throws IOException, InterruptedException {
        signal("-CONT");
    }

    /** Has the process reload its settings, by SIGHUP. */
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

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() throws InterruptedException {
        kill();
    }
}
