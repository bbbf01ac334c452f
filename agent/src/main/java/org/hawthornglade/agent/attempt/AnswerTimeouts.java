package org.hawthornglade.agent.attempt;

/**
 * The time limits of an answer.
 *
 * @param keepAliveIntervalMs how often the entry is told that an attempt lives while it has nothing else to tell, in
 *     milliseconds
 * @param betweenBytesTimeoutMs how long an endpoint may be silent in the middle of an answer, in milliseconds
 */
public record AnswerTimeouts(long keepAliveIntervalMs, long betweenBytesTimeoutMs) {}
