package org.hawthornglade.core.dispatch;

import com.google.common.base.Preconditions;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.ModelName;

/**
 * What a generation request needs from a model engine.
 *
 * @param model the base model
 * @param adapter the adapter of the model, if the request names one
 * @param promptTokens the length of the prompt in tokens
 * @param maxOutputTokens the maximum number of tokens to generate
 * @param prefix the parts of the prompt in order; the last one is specific to this request or its session
 */
public record ModelDemand(
        ModelName model,
        Optional<AdapterName> adapter,
        int promptTokens,
        int maxOutputTokens,
        List<PromptPart> prefix) {
    /** Validates the numbers and copies the list. */
    public ModelDemand {
        Preconditions.checkArgument(promptTokens >= 0, "negative number of prompt tokens: %s", promptTokens);
        Preconditions.checkArgument(maxOutputTokens >= 0, "negative number of output tokens: %s", maxOutputTokens);
        prefix = List.copyOf(prefix);
    }

    /** Returns the model and its adapter as one string, for use as a key. */
    public String variant() {
        return adapter.map(name -> model + "/" + name).orElse(model.value());
    }

    /** Returns the parts of the prompt that other requests may share: all but the last. */
    public List<PromptPart> sharedParts() {
        return prefix.isEmpty() ? List.of() : prefix.subList(0, prefix.size() - 1);
    }

    /** Returns the number of prompt tokens that are not shared with other requests. */
    public int ownTokens() {
        long sharedTokens = sharedParts().stream().mapToLong(PromptPart::tokens).sum();
        return (int) Math.max(0, promptTokens - sharedTokens);
    }

    /** Returns the maximum space that the request needs in the KV cache, in tokens. */
    public long kvTokens() {
        return (long) promptTokens + maxOutputTokens;
    }
}
