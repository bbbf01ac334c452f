package org.hawthornglade.standin.service;

/**
 * A call that a plain service really ran.
 *
 * @param number counts the calls from 1
 * @param atMs when it began, in milliseconds since the Unix epoch
 * @param method the HTTP method
 * @param path the path, with the query if there was one
 * @param idempotencyKey the header Idempotency-Key; null if there was none
 * @param body the body as text
 */
public record ExecutedCall(long number, long atMs, String method, String path, String idempotencyKey, String body) {}
