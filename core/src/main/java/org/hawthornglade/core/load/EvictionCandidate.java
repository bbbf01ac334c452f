package org.hawthornglade.core.load;

import org.hawthornglade.core.id.ModelName;

/**
 * A loaded model or adapter that may be unloaded because it runs no request and none waits for it.
 *
 * @param name the model or adapter
 * @param memoryMb the accelerator memory that unloading frees, in MiB
 * @param reloadMs how long reloading it takes, in milliseconds
 * @param requestsPerHour its average request rate
 * @param lastUsedAtMs when it last ran a request, in milliseconds
 */
public record EvictionCandidate(
        ModelName name, int memoryMb, long reloadMs, double requestsPerHour, long lastUsedAtMs) {}
