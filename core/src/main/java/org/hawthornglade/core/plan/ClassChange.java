package org.hawthornglade.core.plan;

import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.id.ServiceClass;

/**
 * A requested change of a class of service. Fields that are null keep their current value.
 *
 * @param name the name of the class
 * @param weight how much an answer on time is worth compared with other classes
 * @param defaultDeadlineMs the deadline of a request without one, in milliseconds
 * @param maxQueued how many requests of the class may wait at one entry
 */
public record ClassChange(ServiceClass name, Double weight, Long defaultDeadlineMs, Integer maxQueued)
        implements SpecChange<ServiceClass, ClassSpec> {
    @Override
    public ClassSpec applyTo(ClassSpec existing) {
        return new ClassSpec(
                name,
                StatedValue.orExisting(weight, existing, ClassSpec::weight, 1.0),
                StatedValue.orExisting(defaultDeadlineMs, existing, ClassSpec::defaultDeadlineMs, 0L),
                StatedValue.orExisting(maxQueued, existing, ClassSpec::maxQueued, 0));
    }
}
