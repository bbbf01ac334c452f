package org.hawthornglade.gateway.port;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.lease.FencingToken;
import org.hawthornglade.core.replica.EngineReport;
import org.hawthornglade.core.replica.OrderOutcome;
import org.hawthornglade.core.replica.ReplicaOrder;
import org.hawthornglade.core.result.Failure;

/** Sends load and unload orders to engines, and requests their state. */
public interface EngineControl {
    /**
     * Sends an order.
     *
     * @param target the engine
     * @param holder the name of the ordering leader
     * @param token the leader's fencing token
     * @param done receives the outcome, exactly once
     */
    void order(
            InstanceRecord target, ReplicaOrder order, String holder, FencingToken token, Consumer<OrderOutcome> done);

    /** Requests the state of an engine. */
    void report(InstanceRecord target, Consumer<Either<Failure, EngineReport>> done);
}
