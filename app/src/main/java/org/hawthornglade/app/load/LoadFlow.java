package org.hawthornglade.app.load;

import java.util.List;

/**
 * One stream of requests of the same kind.
 *
 * @param name tells it apart in the report
 * @param kind what it sends
 * @param serviceClass the class that the report counts it under; the entry takes the class from the key
 * @param key the caller's key
 * @param models which models it asks for, each equally often
 * @param service the plain service that it calls
 * @param method the HTTP method of its calls; null takes POST
 * @param path the path of its calls below the service; a number is appended to it
 * @param idempotent whether its calls may be repeated; if not, each carries an idempotency key
 * @param ratePerSecond how many requests it sends a second on average, at random times
 * @param burstEveryMs how often it sends a burst, in milliseconds; 0 for never
 * @param burstRequests how many requests a burst has
 * @param stream whether answers come as server-sent events
 * @param maxTokens how long answers are
 * @param promptChars how long prompts are, in characters
 * @param deadlineMs by when an answer has to be whole, in milliseconds from the time that it was due to be sent
 * @param directFlow the flow of direct calls to compare with; null for none
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

    /** Fills in what is left out. */
    public LoadFlow {
        serviceClass = serviceClass == null ? "standard" : serviceClass;
        models = models == null ? List.of() : List.copyOf(models);
        method = method == null ? "POST" : method;
        path = path == null ? "/" : path;
        maxTokens = maxTokens == 0 ? DEFAULT_MAX_TOKENS : maxTokens;
        promptChars = promptChars == 0 ? DEFAULT_PROMPT_CHARS : promptChars;
        deadlineMs = deadlineMs == 0 ? DEFAULT_DEADLINE_MS : deadlineMs;
    }

    /** Returns what is wrong with the flow, one sentence each. */
    List<String> faults() {
        return java.util.stream.Stream.of(
                        faultIf(name == null || name.isBlank(), "a flow has no name"),
                        faultIf(kind == null, name + ": kind is missing"),
                        faultIf(kind == FlowKind.SERVICE && service == null, name + ": service is missing"),
                        faultIf(kind != FlowKind.SERVICE && models.isEmpty(), name + ": models is empty"),
                        faultIf(kind != FlowKind.DIRECT_CHAT && key == null, name + ": key is missing"),
                        faultIf(ratePerSecond < 0, name + ": ratePerSecond is negative"),
                        faultIf(burstEveryMs < 0 || burstRequests < 0, name + ": the burst is negative"),
                        faultIf(
                                ratePerSecond == 0 && (burstEveryMs == 0 || burstRequests == 0),
                                name + ": neither a rate nor a burst"),
                        faultIf(
                                maxTokens < 0 || promptChars < 0 || deadlineMs < 0,
                                name + ": a size or the deadline is negative"))
                .filter(text -> text != null)
                .toList();
    }

    private static String faultIf(boolean wrong, String text) {
        return wrong ? text : null;
    }
}
