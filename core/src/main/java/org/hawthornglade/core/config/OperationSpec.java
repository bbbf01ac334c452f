package org.hawthornglade.core.config;

/**
 * One operation of a plain service.
 *
 * @param method the HTTP method, in capitals
 * @param pathPrefix the path below the service's name that it begins with, with a leading slash
 * @param idempotent whether a call may be repeated; if not, it runs at most once
 */
public record OperationSpec(String method, String pathPrefix, boolean idempotent) {}
