package org.hawthornglade.core.config;

/**
 * One operation of a plain service.
 *
 * @param method the HTTP method, in upper case
 * @param pathPrefix the start of the path below the service's name, with a leading slash
 * @param idempotent whether a call may be repeated; otherwise it runs at most once
 */
public record OperationSpec(String method, String pathPrefix, boolean idempotent) {}
