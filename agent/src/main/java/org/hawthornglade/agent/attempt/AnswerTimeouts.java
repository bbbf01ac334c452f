package org.hawthornglade.agent.attempt;

/**
 * Holds the time limits of an answer.
 *
 * @param keepAliveIntervalMs the interval between keep-alive frames to the entry when nothing else is sent, in
 *     milliseconds
 * @param betweenBytesTimeoutMs the longest time without data from an endpoint in the middle of an answer, in
 *     milliseconds
 */
public record AnswerTimeouts(long keepAliveIntervalMs, long betweenBytesTimeoutMs) {}
