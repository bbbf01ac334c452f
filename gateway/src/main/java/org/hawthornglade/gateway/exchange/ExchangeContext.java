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
 * @param connections the connections to endpoints
 * @param waitingCalls the calls that wait
 * @param bufferBudget the memory for answers that are not whole yet
 * @param retryBudgets limits repeated attempts
 * @param protocol translates headers
 * @param log takes a line for each call
 * @param metrics counts calls
 */
public record ExchangeContext(
        Timers timers,
        Clock clock,
        Fleet fleet,
        Dispatcher dispatcher,
        EndpointConnections connections,
        WaitingCalls waitingCalls,
        ResponseBufferBudget bufferBudget,
        RetryBudgets retryBudgets,
        CallProtocol protocol,
        EventLog log,
        GatewayMetrics metrics) {
    /** Returns what takes note of what endpoints say of themselves. */
    NoticeHandler noticeHandler() {
        return new NoticeHandler(waitingCalls, timers, log, metrics);
    }
}
