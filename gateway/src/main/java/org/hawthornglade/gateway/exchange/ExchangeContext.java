package org.hawthornglade.gateway.exchange;

import org.hawthornglade.core.dispatch.Dispatcher;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.port.CallProtocol;

/**
 * What all exchanges of an entry share.
 *
 * @param timers runs actions on the only thread that exchanges use
 * @param clock the steady clock
 * @param fleet the known instances
 * @param dispatcher decides where calls go
 * @param links the connections to endpoints
 * @param waiting the calls that wait
 * @param held the memory for answers that are not whole yet
 * @param budgets limits repeated attempts
 * @param protocol translates headers
 * @param log takes a line for each call
 * @param metrics counts calls
 */
public record ExchangeContext(
        Timers timers,
        Clock clock,
        Fleet fleet,
        Dispatcher dispatcher,
        EndpointLinks links,
        WaitingCalls waiting,
        HeldBytes held,
        RetryBudgets budgets,
        CallProtocol protocol,
        EventLog log,
        GatewayMetrics metrics) {
    /** Returns what takes note of what endpoints say of themselves. */
    NoticeReader notices() {
        return new NoticeReader(waiting, timers, log, metrics);
    }
}
