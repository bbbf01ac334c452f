package org.hawthornglade.app.caller;

import com.beust.jcommander.Parameter;

/** Options common to all caller commands. */
final class CallerOptions {
    @Parameter(names = "--entry", required = true, description = "Base URI of an entry, such as http://127.0.0.1:8080")
    private String entry;

    @Parameter(names = "--key-env", description = "Name of the environment variable that holds the caller's key")
    private String keyVariable = "HAWTHORNGLADE_KEY";

    @Parameter(
            names = "--deadline-ms",
            description = "Deadline of the request in milliseconds; 0 for the default of its class")
    private long deadlineMs;

    String entry() {
        return entry;
    }

    long deadlineMs() {
        return deadlineMs;
    }

    String key() {
        String key = System.getenv(keyVariable);
        if (key == null || key.isEmpty()) {
            throw new IllegalArgumentException("the environment variable " + keyVariable + " is not set");
        }
        return key;
    }
}
