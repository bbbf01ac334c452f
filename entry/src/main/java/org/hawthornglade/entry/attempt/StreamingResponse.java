package org.hawthornglade.entry.attempt;

import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.entry.IncomingRequest;

/**
 * An answer that has begun.
 *
 * @param request the request it answers
 * @param dispatch the attempt that gives it
 * @param response its head and body
 */
public record StreamingResponse(IncomingRequest request, EntryCommand.Dispatch dispatch, OpenResponse response) {}
