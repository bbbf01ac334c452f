package org.hawthornglade.standin.service;

/**
 * A call that a plain service has executed.
 *
 * @param number the sequence number of the call, from 1
 * @param atMs the start time, in milliseconds since the Unix epoch
 * @param method the HTTP method
 * @param path the path, including the query if there is one
 * @param idempotencyKey the header Idempotency-Key; null if there is none
 * @param body the body as text
 */
public record ExecutedCall(long number, long atMs, String method, String path, String idempotencyKey, String body) {}
