package org.hawthornglade.agent.endpoint;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import org.hawthornglade.core.agent.AgentEvent;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.ports.engine.EngineControl;

/** Polls the engine's report, sends it orders, and converts its answers to events. */
public final class EnginePoller implements EndpointPoller {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final EngineControl engine;
    private final Consumer<AgentEvent> events;
    private final ExecutorService orders;

    /**
     * Creates a poller.
     *
     * @param engine the engine
     * @param events receives the events
     * @param orders runs the calls that send orders; single-threaded, so that they keep their sequence
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

    /** Sends an order without waiting for the answer. */
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
