package org.hawthornglade.entry.attempt;

import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.RequestId;

/**
 * An answer that has begun.
 *
 * @param request the request it answers
 * @param attempt the attempt that gives it
 * @param answer its head and body
 */
public record RunningAnswer(RequestId request, AttemptId attempt, OpenAnswer answer) {}
