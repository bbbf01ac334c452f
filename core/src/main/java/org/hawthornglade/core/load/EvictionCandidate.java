package org.hawthornglade.core.load;

import org.hawthornglade.core.id.ModelName;

/**
 * A loaded model or adapter that could be unloaded because it runs no request and none waits for it.
 *
 * @param name the model or adapter
 * @param memoryMb the accelerator memory that unloading frees, in MiB
 * @param reloadMs how long loading it again takes, in milliseconds
 * @param requestsPerHour how often it is asked for on average
 * @param lastUsedAtMs when it last ran a request, in milliseconds
 */
public record EvictionCandidate(ModelName name, int memoryMb, long reloadMs, double requestsPerHour, long lastUsedAtMs) {}
