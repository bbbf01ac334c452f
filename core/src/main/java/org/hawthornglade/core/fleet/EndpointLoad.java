package org.hawthornglade.core.fleet;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Tracks the load of an endpoint: exact for this entry's requests, as last reported for those of other entries. */
public final class EndpointLoad {
    /** Time after which the load of other entries counts as ended unless it is reported again. */
    private static final long OTHERS_VALID_MS = 1_500;

    private final Map<Variant, Integer> byVariant = new HashMap<>();
    private int ownRequests;
    private long ownTokens;
    private long ownPrefillTokens;
    private int othersRequests;
    private long othersAtMs = -OTHERS_VALID_MS;
    private int ownAtReport;
    private boolean reported;

    /** Adds an attempt that is sent. */
    public void begin(Optional<Variant> variant, long tokens, long prefillTokens) {
        ownRequests++;
        variant.ifPresent(name -> byVariant.merge(name, 1, Integer::sum));
        ownTokens += tokens;
        ownPrefillTokens += prefillTokens;
    }

    /** Removes the prefill tokens of an attempt whose prompt has been processed. */
    public void endPrefill(long prefillTokens) {
        ownPrefillTokens -= prefillTokens;
    }

    /** Removes an attempt that has ended. */
    public void end(Optional<Variant> variant, long tokens) {
        ownRequests--;
        variant.ifPresent(name -> byVariant.computeIfPresent(name, (key, count) -> count == 1 ? null : count - 1));
        ownTokens -= tokens;
    }

    /** Updates the number of requests that other entries have in flight. */
    public void updateOthers(int requests, long nowMs) {
        othersRequests = Math.max(0, requests);
        othersAtMs = nowMs;
        reported = true;
        ownAtReport = ownRequests;
    }

    /** Returns whether the requests of other entries were ever reported. */
    public boolean reported() {
        return reported;
    }

    /** Returns the requests of other entries as last reported, however long ago. */
    public int lastOthers() {
        return othersRequests;
    }

    /** Returns this entry's requests when those of others were last reported. */
    public int ownAtReport() {
        return ownAtReport;
    }

    /** Returns the age of the last report of the requests of other entries, in milliseconds. */
    public long reportAgeMs(long nowMs) {
        return nowMs - othersAtMs;
    }

    public int ownRequests() {
        return ownRequests;
    }

    /** Returns this entry's requests in flight by model and adapter. */
    public Map<Variant, Integer> byVariant() {
        return Collections.unmodifiableMap(byVariant);
    }

    public long ownTokens() {
        return ownTokens;
    }

    public long ownPrefillTokens() {
        return ownPrefillTokens;
    }

    /** Returns the known requests in flight from all entries. */
    public int requests(long nowMs) {
        boolean valid = nowMs - othersAtMs < OTHERS_VALID_MS;
        return ownRequests + (valid ? othersRequests : 0);
    }
}
