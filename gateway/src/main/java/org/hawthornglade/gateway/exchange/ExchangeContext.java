package org.hawthornglade.gateway.exchange;

import org.hawthornglade.core.dispatch.Dispatcher;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.pace.Pacing;
import org.hawthornglade.core.quarantine.PromptQuarantine;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.port.CallProtocol;
import org.hawthornglade.gateway.resumption.StreamResumption;

/**
 * Holds the components that all exchanges of an entry share.
 *
 * @param timers runs actions on the only thread that exchanges use
 * @param clock the monotonic clock
 * @param fleet the known instances
 * @param dispatcher decides where calls go
 * @param connections the connections to endpoints
 * @param waitingCalls the waiting calls
 * @param bufferBudget the memory for buffered responses
 * @param retryBudgets limits retries
 * @param quarantine refuses calls with parts of prompts that crash instances
 * @param quotaGate lets calls pass that are within the quotas of their teams
 * @param resumption decides where streams that callers take up go on
 * @param startCheck finds out whether instances have started again
 * @param crashDetector tells crashes from lost connections
 * @param pacing learns the service rates of endpoints
 * @param protocol translates headers between callers and endpoints
 * @param log receives one line for each call
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
        PromptQuarantine quarantine,
        QuotaGate quotaGate,
        StreamResumption resumption,
        StartCheck startCheck,
        CrashDetector crashDetector,
        Pacing pacing,
        CallProtocol protocol,
        EventLog log,
        GatewayMetrics metrics) {
    /** Returns the handler of the notices in the responses of endpoints. */
    NoticeHandler noticeHandler() {
        return new NoticeHandler(waitingCalls, timers, log, metrics);
    }
}
