package org.hawthornglade.ports.instance;

import io.vavr.control.Either;
import java.util.List;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.core.result.Failure;

/** The platform's list of instances, which lags behind their actual state. */
public interface InstanceList {
    /**
     * Reads the whole list; an instance that is gone stays listed as {@link InstanceState#GONE} for a day.
     *
     * <p>Left: PLATFORM_UNAVAILABLE or PLATFORM_RATE_LIMITED.
     */
    Either<Failure, List<InstanceInfo>> list();
}
