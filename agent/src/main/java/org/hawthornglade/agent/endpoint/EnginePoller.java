package org.hawthornglade.agent.endpoint;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import org.hawthornglade.core.agent.AgentEvent;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.ports.engine.EngineControl;

/** Asks the engine for its report and gives it orders, turning its answers into events. */
public final class EnginePoller implements EndpointPoller {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final EngineControl engine;
    private final Consumer<AgentEvent> events;
    private final ExecutorService orders;

    /**
     * Creates a poller.
     *
     * @param engine the engine
     * @param events takes what it says
     * @param orders runs the calls that give orders; one thread, so that they keep their order
     */
    public EnginePoller(EngineControl engine, Consumer<AgentEvent> events, ExecutorService orders) {
        this.engine = engine;
        this.events = events;
        this.orders = orders;
    }

    @Override
    public void poll() {
        engine.report()
                .peek(report -> events.accept(new AgentEvent.EngineReported(report)))
                .peekLeft(failure -> events.accept(new AgentEvent.EndpointLost()));
    }

    /** Gives an order without waiting for its answer. */
    public void send(EngineOrder order) {
        orders.execute(() -> engine.order(order)
                .peek(answer ->
                        events.accept(new AgentEvent.OrderTaken(order, answer.orderSequence(), answer.bootId())))
                .peekLeft(failure -> {
                    LOG.atWarning().log(
                            "event=order_failed kind=%s model=%s code=%d detail=\"%s\"",
                            order.kind(), order.model(), failure.code().number(), failure.message());
                    events.accept(new AgentEvent.OrderFailed(order, failure));
                }));
    }
}
