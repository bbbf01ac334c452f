package org.hawthornglade.standin.instance;

import io.vavr.control.Either;
import java.util.List;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.ports.instance.InstanceList;
import org.hawthornglade.standin.fault.FaultyCalls;

/** An instance list within the process whose calls meet faults. */
public final class FaultyInstanceList implements InstanceList {
    private final InstanceList list;
    private final FaultyCalls calls;

    /** Puts faults before an instance list. */
    public FaultyInstanceList(InstanceList list, FaultyCalls calls) {
        this.list = list;
        this.calls = calls;
    }

    @Override
    public Either<Failure, List<InstanceInfo>> list() {
        return calls.read(list::list);
    }
}
