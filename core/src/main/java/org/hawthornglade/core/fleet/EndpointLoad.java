package org.hawthornglade.core.fleet;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The work that is under way at an endpoint: this entry's own exactly, that of others as last told. */
public final class EndpointLoad {
    /** After this time without news the work of others is taken to have ended. */
    private static final long OTHERS_VALID_MS = 1_500;

    private final Map<Variant, Integer> byVariant = new HashMap<>();
    private int ownRequests;
    private long ownTokens;
    private long ownPrefillTokens;
    private int othersRequests;
    private long othersAtMs = -OTHERS_VALID_MS;

    /** Counts an attempt that is sent. */
    public void begin(Optional<Variant> variant, long tokens, long prefillTokens) {
        ownRequests++;
        variant.ifPresent(name -> byVariant.merge(name, 1, Integer::sum));
        ownTokens += tokens;
        ownPrefillTokens += prefillTokens;
    }

    /** Counts that an attempt's prompt has been read. */
    public void endPrefill(long prefillTokens) {
        ownPrefillTokens -= prefillTokens;
    }

    /** Counts an attempt that has ended. */
    public void end(Optional<Variant> variant, long tokens) {
        ownRequests--;
        variant.ifPresent(name -> byVariant.computeIfPresent(name, (key, count) -> count == 1 ? null : count - 1));
        ownTokens -= tokens;
    }

    /** Takes the number of requests that other entries have under way. */
    public void updateOthers(int requests, long nowMs) {
        othersRequests = Math.max(0, requests);
        othersAtMs = nowMs;
    }

    public int ownRequests() {
        return ownRequests;
    }

    /** Returns this entry's requests under way by model and adapter. */
    public Map<Variant, Integer> byVariant() {
        return Collections.unmodifiableMap(byVariant);
    }

    public long ownTokens() {
        return ownTokens;
    }

    public long ownPrefillTokens() {
        return ownPrefillTokens;
    }

    /** Returns the requests under way from all entries, as far as known. */
    public int requests(long nowMs) {
        boolean valid = nowMs - othersAtMs < OTHERS_VALID_MS;
        return ownRequests + (valid ? othersRequests : 0);
    }
}
