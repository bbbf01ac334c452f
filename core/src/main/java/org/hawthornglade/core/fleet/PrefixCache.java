package org.hawthornglade.core.fleet;

import com.google.common.primitives.Ints;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt prefixes an instance still has in its cache, from the requests that this entry sent to it.
 *
 * <p>An instance caches a prefix per model and adapter and only together with all preceding parts, so each element is
 * keyed by the whole chain up to its part.
 */
public final class PrefixCache {
    /** Maximum number of prefixes tracked per instance. */
    private static final int MAX_PREFIXES = 512;

    private final Map<String, Integer> tokensByChain = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    /** Adds the parts of a prompt that the instance has processed. */
    public void add(String variant, List<PromptPart> parts) {
        StringBuilder chain = new StringBuilder(variant);
        for (PromptPart part : parts) {
            chain.append('|').append(part.id());
            tokensByChain.put(chain.toString(), part.tokens());
        }
    }

    /** Returns the number of prompt tokens that are probably cached. */
    public int cachedTokens(String variant, List<PromptPart> parts) {
        StringBuilder chain = new StringBuilder(variant);
        long cached = 0;
        for (PromptPart part : parts) {
            chain.append('|').append(part.id());
            if (!tokensByChain.containsKey(chain.toString())) {
                break;
            }
            cached += part.tokens();
        }
        return Ints.saturatedCast(cached);
    }

    /** Removes all prefixes, as after a restart of the instance. */
    public void clear() {
        tokensByChain.clear();
    }
}
