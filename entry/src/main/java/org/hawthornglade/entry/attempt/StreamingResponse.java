package org.hawthornglade.entry.attempt;

import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.entry.IncomingRequest;

/**
 * A response that has started and is ready to be streamed to the caller.
 *
 * @param request the request that it belongs to
 * @param dispatch the dispatch of the attempt that produced it
 * @param response its head and body
 */
public record StreamingResponse(IncomingRequest request, EntryCommand.Dispatch dispatch, OpenResponse response) {}
