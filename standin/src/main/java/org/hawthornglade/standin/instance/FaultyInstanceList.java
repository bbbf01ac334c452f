package org.hawthornglade.standin.instance;

import io.vavr.control.Either;
import java.util.List;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.ports.instance.InstanceList;
import org.hawthornglade.standin.fault.FaultyCalls;

/** Wraps an in-process instance list and injects faults into its calls. */
public final class FaultyInstanceList implements InstanceList {
    private final InstanceList list;
    private final FaultyCalls calls;

    /** Wraps an instance list. */
    public FaultyInstanceList(InstanceList list, FaultyCalls calls) {
        this.list = list;
        this.calls = calls;
    }

    @Override
    public Either<Failure, List<InstanceInfo>> list() {
        return calls.read(list::list);
    }
}
