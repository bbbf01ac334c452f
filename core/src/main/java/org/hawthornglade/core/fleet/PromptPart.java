package org.hawthornglade.core.fleet;

/**
 * A part of a prompt that several requests may share.
 *
 * @param id the part's id, unique for its text
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
