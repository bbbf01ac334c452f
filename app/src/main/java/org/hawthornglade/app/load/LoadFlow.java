package org.hawthornglade.app.load;

import java.util.List;

/**
 * A stream of requests of the same kind.
 *
 * @param name identifies the flow in the report
 * @param kind the kind of its requests
 * @param serviceClass the class under which the report counts it; the entry determines the class from the key
 * @param key the caller's key
 * @param models the requested models, each with the same probability
 * @param service the plain service that it calls
 * @param method the HTTP method of its calls; null for POST
 * @param path the path of its calls below the service; a number is appended to it
 * @param idempotent whether its calls may be repeated; if not, each carries an idempotency key
 * @param ratePerSecond mean rate of requests sent at random times, in requests per second
 * @param burstEveryMs interval between bursts, in milliseconds; 0 for no bursts
 * @param burstRequests number of requests in a burst
 * @param stream whether responses are streamed as server-sent events
 * @param maxTokens length of the responses, in tokens
 * @param promptChars minimum length of the prompts, in characters
 * @param deadlineMs by when the response must be complete, in milliseconds from when the request was due
 * @param directFlow name of the flow of direct calls to compare with; null for none
 */
public record LoadFlow(
        String name,
        FlowKind kind,
        String serviceClass,
        String key,
        List<String> models,
        String service,
        String method,
        String path,
        boolean idempotent,
        double ratePerSecond,
        long burstEveryMs,
        int burstRequests,
        boolean stream,
        int maxTokens,
        int promptChars,
        long deadlineMs,
        String directFlow) {
    private static final long DEFAULT_DEADLINE_MS = 30_000;
    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final int DEFAULT_PROMPT_CHARS = 64;

    /** Fills in defaults for missing values. */
    public LoadFlow {
        serviceClass = serviceClass == null ? "standard" : serviceClass;
        models = models == null ? List.of() : List.copyOf(models);
        method = method == null ? "POST" : method;
        path = path == null ? "/" : path;
        maxTokens = maxTokens == 0 ? DEFAULT_MAX_TOKENS : maxTokens;
        promptChars = promptChars == 0 ? DEFAULT_PROMPT_CHARS : promptChars;
        deadlineMs = deadlineMs == 0 ? DEFAULT_DEADLINE_MS : deadlineMs;
    }

    /** Returns the faults of the flow; empty if it is valid. */
    List<String> faults() {
        return java.util.stream.Stream.of(
                        faultIf(name == null || name.isBlank(), "a flow has no name"),
                        faultIf(kind == null, name + ": kind is missing"),
                        faultIf(kind == FlowKind.SERVICE && service == null, name + ": service is missing"),
                        faultIf(kind != FlowKind.SERVICE && models.isEmpty(), name + ": models is empty"),
                        faultIf(kind != FlowKind.DIRECT_CHAT && key == null, name + ": key is missing"),
                        faultIf(ratePerSecond < 0, name + ": ratePerSecond is negative"),
                        faultIf(
                                burstEveryMs < 0 || burstRequests < 0,
                                name + ": burstEveryMs or burstRequests is negative"),
                        faultIf(
                                ratePerSecond == 0 && (burstEveryMs == 0 || burstRequests == 0),
                                name + ": neither a rate nor bursts are given"),
                        faultIf(
                                maxTokens < 0 || promptChars < 0 || deadlineMs < 0,
                                name + ": maxTokens, promptChars or deadlineMs is negative"))
                .filter(text -> text != null)
                .toList();
    }

    private static String faultIf(boolean wrong, String text) {
        return wrong ? text : null;
    }
}
