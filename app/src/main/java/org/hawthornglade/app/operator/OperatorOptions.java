package org.hawthornglade.app.operator;

import com.beust.jcommander.Parameter;

/** Options common to all operator commands. */
final class OperatorOptions {
    @Parameter(names = "--entry", required = true, description = "Base URI of an entry, such as http://127.0.0.1:8080")
    private String entry;

    @Parameter(names = "--token-env", description = "Name of the environment variable that holds the operator's token")
    private String tokenVariable = "HAWTHORNGLADE_TOKEN";

    @Parameter(names = "--json", description = "Prints the response as JSON")
    private boolean json;

    String entry() {
        return entry;
    }

    boolean json() {
        return json;
    }

    String token() {
        String token = System.getenv(tokenVariable);
        if (token == null || token.isEmpty()) {
            throw new IllegalArgumentException("the environment variable " + tokenVariable + " is not set or is empty");
        }
        return token;
    }
}
