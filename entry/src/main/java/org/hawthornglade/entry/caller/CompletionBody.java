package org.hawthornglade.entry.caller;

/**
 * What the entry needs to know of a completion's body.
 *
 * @param model the model or adapter
 * @param stream whether the answer is to come as server-sent events
 */
record CompletionBody(String model, boolean stream) {}
