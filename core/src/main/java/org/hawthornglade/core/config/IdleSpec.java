package org.hawthornglade.core.config;

/**
 * The cost of idle accelerators relative to waiting for cold starts.
 *
 * @param coldSecondsPerIdleHour how many seconds of waiting for a cold start cost as much as one idle accelerator hour
 */
public record IdleSpec(double coldSecondsPerIdleHour) {}
