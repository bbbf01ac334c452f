package org.hawthornglade.core.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which prompt prefixes an instance probably still keeps, by the requests that this entry sent there.
 *
 * <p>A prefix is kept for one model and adapter and only together with all parts before it, so that each entry is
 * keyed by the whole chain up to its part.
 */
public final class PrefixCache {
    /** How many prefixes are remembered for an instance. */
    private static final int MAX_PREFIXES = 512;

    private final Map<String, Integer> tokensByChain = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    /** Remembers the parts of a prompt that was read. */
    public void add(String variant, List<PromptPart> parts) {
        StringBuilder chain = new StringBuilder(variant);
        for (PromptPart part : parts) {
            chain.append('|').append(part.id());
            tokensByChain.put(chain.toString(), part.tokens());
        }
    }

    /** Returns how many tokens of a prompt need not be read again. */
    public int cachedTokens(String variant, List<PromptPart> parts) {
        StringBuilder chain = new StringBuilder(variant);
        int cached = 0;
        for (PromptPart part : parts) {
            chain.append('|').append(part.id());
            if (!tokensByChain.containsKey(chain.toString())) {
                return cached;
            }
            cached += part.tokens();
        }
        return cached;
    }

    /** Forgets everything, as after a restart of the instance. */
    public void clear() {
        tokensByChain.clear();
    }
}
