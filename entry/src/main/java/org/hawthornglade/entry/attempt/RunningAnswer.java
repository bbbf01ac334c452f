package org.hawthornglade.entry.attempt;

import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.entry.IncomingRequest;

/**
 * An answer that has begun.
 *
 * @param request the request it answers
 * @param dispatch the attempt that gives it
 * @param answer its head and body
 */
public record RunningAnswer(IncomingRequest request, EntryCommand.Dispatch dispatch, OpenAnswer answer) {}
