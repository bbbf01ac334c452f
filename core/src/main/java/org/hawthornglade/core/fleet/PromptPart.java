package org.hawthornglade.core.fleet;

import com.google.common.base.Preconditions;
import org.hawthornglade.core.id.PromptPartId;

/**
 * A part of a prompt that several requests may share.
 *
 * @param id the part's id, unique for its text
 * @param tokens its length in tokens
 */
public record PromptPart(PromptPartId id, int tokens) {
    /** Validates the length. */
    public PromptPart {
        Preconditions.checkArgument(tokens >= 0, "negative number of tokens: %s", tokens);
    }
}
