package org.hawthornglade.gateway.port;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.replica.EngineReport;
import org.hawthornglade.core.replica.OrderOutcome;
import org.hawthornglade.core.replica.ReplicaOrder;
import org.hawthornglade.core.result.Failure;

/** Orders engines to load and unload, and asks what they hold. */
public interface EngineControl {
    /**
     * Sends an order.
     *
     * @param target the engine
     * @param holder the name of the leader that orders
     * @param token the leader's fencing token
     * @param done takes the outcome, once
     */
    void order(InstanceRecord target, ReplicaOrder order, String holder, long token, Consumer<OrderOutcome> done);

    /** Asks an engine for its state. */
    void report(InstanceRecord target, Consumer<Either<Failure, EngineReport>> done);
}
