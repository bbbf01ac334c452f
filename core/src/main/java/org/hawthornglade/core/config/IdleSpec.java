package org.hawthornglade.core.config;

/**
 * What idleness costs against waiting.
 *
 * @param coldSecondsPerIdleHour how many seconds of waiting for a cold start weigh as much as one idle accelerator hour
 */
public record IdleSpec(double coldSecondsPerIdleHour) {}
