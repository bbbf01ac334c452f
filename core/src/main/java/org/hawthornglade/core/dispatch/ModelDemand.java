package org.hawthornglade.core.dispatch;

import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.ModelName;

/**
 * What a generation asks of a model engine.
 *
 * @param model the base model
 * @param adapter the adapter on it, if one is named
 * @param promptTokens the length of the prompt
 * @param maxOutputTokens the most that may be generated
 * @param prefix the parts of the prompt in order; the last belongs to this request or its session
 */
public record ModelDemand(
        ModelName model,
        Optional<AdapterName> adapter,
        int promptTokens,
        int maxOutputTokens,
        List<PromptPart> prefix) {
    /** Copies the parts. */
    public ModelDemand {
        prefix = List.copyOf(prefix);
    }

    /** Returns the model and its adapter as one word, for use as a key. */
    public String variant() {
        return adapter.map(name -> model + "/" + name).orElse(model.value());
    }

    /** Returns the tokens of the prompt that are not shared with other requests. */
    public int ownTokens() {
        int sharedTokens = 0;
        for (int i = 0; i < prefix.size() - 1; i++) {
            sharedTokens += prefix.get(i).tokens();
        }
        return Math.max(0, promptTokens - sharedTokens);
    }

    /** Returns the memory that the request may need in the KV cache, in tokens. */
    public long kvTokens() {
        return (long) promptTokens + maxOutputTokens;
    }
}
