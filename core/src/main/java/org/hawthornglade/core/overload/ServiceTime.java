package org.hawthornglade.core.overload;

/**
 * How long calls take at endpoints.
 *
 * @param firstMs the mean time from the sending of a call to the first part of its response, in milliseconds
 * @param totalMs the mean time from the sending of a call to the end of its response, in milliseconds
 * @param ageMs how long ago the last of these calls ended, in milliseconds
 */
public record ServiceTime(double firstMs, double totalMs, long ageMs) {}
