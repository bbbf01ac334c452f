package org.hawthornglade.core.plan;

import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.id.ServiceClass;

/**
 * A stated change of a class of service. Fields that are null keep their value.
 *
 * @param name the name
 * @param weight what an answer on time is worth
 * @param defaultDeadlineMs the deadline of a request that names none, in milliseconds
 * @param maxQueued how many requests may wait at one entry
 */
public record ClassChange(ServiceClass name, Double weight, Long defaultDeadlineMs, Integer maxQueued)
        implements SpecChange<ServiceClass, ClassSpec> {
    @Override
    public ClassSpec applyTo(ClassSpec soFar) {
        return new ClassSpec(
                name,
                StatedValue.orExisting(weight, soFar, ClassSpec::weight, 1.0),
                StatedValue.orExisting(defaultDeadlineMs, soFar, ClassSpec::defaultDeadlineMs, 0L),
                StatedValue.orExisting(maxQueued, soFar, ClassSpec::maxQueued, 0));
    }
}
