package org.hawthornglade.core.config;

import org.hawthornglade.core.id.ServiceClass;

/**
 * A class of service.
 *
 * @param name the name of the class
 * @param weight how much an answer on time is worth compared with other classes; above 0
 * @param defaultDeadlineMs the deadline of a request without one, in milliseconds from its arrival
 * @param maxQueued how many requests of the class may wait at one entry
 */
public record ClassSpec(ServiceClass name, double weight, long defaultDeadlineMs, int maxQueued) {}
