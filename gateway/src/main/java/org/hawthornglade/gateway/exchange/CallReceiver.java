package org.hawthornglade.gateway.exchange;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.quota.QuotaClient;
import org.hawthornglade.core.quota.QuotaPatience;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.serving.Route;
import org.hawthornglade.core.serving.ServiceDefinition;
import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.serving.WeightedService;
import org.hawthornglade.core.team.CallerIdentity;
import org.hawthornglade.core.team.Team;
import org.hawthornglade.core.team.TeamQuota;
import org.hawthornglade.gateway.http.CallHandler;
import org.hawthornglade.gateway.http.CutResponse;
import org.hawthornglade.gateway.http.IncomingCall;
import org.hawthornglade.gateway.http.UnfinishedRequest;
import org.hawthornglade.gateway.http.UnreadBody;
import org.hawthornglade.gateway.log.LogLine;
import org.hawthornglade.gateway.port.CallRequest;

/** Receives calls: reads their headers, finds their routes and starts an exchange for each of them. */
public final class CallReceiver implements CallHandler {
    /** Retry-After while no configuration is known. */
    private static final long NOT_READY_RETRY_AFTER_MS = 500;
    /** Retry-After while the bodies of other calls take the memory; other entries may have room at once. */
    private static final long NO_MEMORY_RETRY_AFTER_MS = 500;
    /** Retry-After while this entry stops; the caller then reaches another entry. */
    static final long STOPPING_RETRY_AFTER_MS = 50;
    /** A call ends this long before its caller's deadline, so that the response arrives in time. */
    private static final long RESPONSE_RESERVE_MS = 5;

    private final ExchangeContext context;
    private final Supplier<Optional<ServingConfiguration>> configuration;
    private final Consumer<CallView> arrivals;
    private final Random random;
    private final StartupQueue startupQueue;
    private final UnhandledRequestLog unhandled;
    private final Set<Exchange> open = new LinkedHashSet<>();
    private long callCount;
    private boolean stopping;

    /**
     * Creates a receiver.
     *
     * @param configuration the version in force, if one is known
     * @param arrivals receives each call that has a route
     * @param random distributes traffic over the targets of a route
     */
    public CallReceiver(
            ExchangeContext context,
            Supplier<Optional<ServingConfiguration>> configuration,
            Consumer<CallView> arrivals,
            Random random) {
        this.arrivals = arrivals;
        this.context = context;
        this.startupQueue = new StartupQueue(context.timers());
        this.unhandled = new UnhandledRequestLog(context.protocol(), context.log(), context.metrics());
        this.configuration = configuration;
        this.random = random;
    }

    @Override
    public void onCall(IncomingCall call) {
        Either<Failure, CallRequest> read = context.protocol().readCall(call.head());
        if (read.isLeft()) {
            sendError(
                    call,
                    RequestId.of("none"),
                    read.getLeft().code(),
                    0,
                    read.getLeft().message());
            return;
        }
        CallRequest request = read.get();
        if (context.waitingCalls().refusing()) {
            sendError(call, request.id(), ResultCode.STOPPING, STOPPING_RETRY_AFTER_MS, "stopping");
            return;
        }
        Optional<ServingConfiguration> known = configuration.get();
        if (known.isEmpty() || !context.fleet().listLoaded()) {
            startupQueue.add(
                    call,
                    queued -> sendError(
                            queued,
                            request.id(),
                            ResultCode.NOT_READY,
                            NOT_READY_RETRY_AFTER_MS,
                            "no configuration yet"));
            return;
        }
        String host = call.head().headers().get(HttpHeaderNames.HOST);
        Optional<Route> route = known.get().route(host, path(call.head().uri()));
        if (route.isEmpty()) {
            sendError(
                    call,
                    request.id(),
                    ResultCode.UNKNOWN_SERVICE,
                    0,
                    "config " + known.get().version());
            return;
        }
        Either<ResultCode, CallerIdentity> caller =
                known.get().teams().identify(request.credential(), route.get().isPublic());
        if (caller.isLeft()) {
            context.metrics().count("calls_without_valid_key");
            sendError(
                    call,
                    request.id(),
                    caller.getLeft(),
                    0,
                    "config " + known.get().version());
            return;
        }
        admit(
                call,
                request,
                route.get(),
                caller.get().team(),
                hold -> start(call, request, route.get(), known.get(), caller.get(), hold));
    }

    private static long budgetMs(CallRequest request, Route route) {
        return Math.min(request.remainingMs().orElse(route.timeoutMs()), route.timeoutMs());
    }

    /** Passes a call on if it is within the quota of its team; {@code next} receives what it has taken of it. */
    private void admit(
            IncomingCall call, CallRequest request, Route route, Optional<Team> team, Consumer<QuotaHold> next) {
        Optional<TeamQuota> quota = team.flatMap(Team::quota);
        if (quota.isEmpty()) {
            next.accept(QuotaHold.NONE);
            return;
        }
        AtomicBoolean gone = new AtomicBoolean();
        call.response().onGone(() -> gone.set(true));
        context.quotaGate()
                .admit(
                        team.get().name(),
                        QuotaClient.units(quota.get(), request.statedTokens()),
                        QuotaPatience.of(route.targetMs(), Math.min(budgetMs(request, route), route.abandonMs())),
                        hold -> {
                            if (gone.get()) {
                                hold.refund();
                            } else {
                                next.accept(hold);
                            }
                        },
                        retryAfterMs -> sendError(
                                call,
                                request.id(),
                                ResultCode.TEAM_OVER_QUOTA,
                                retryAfterMs,
                                "team " + team.get().name()));
    }

    @Override
    public void onUnreadBody(IncomingCall call, UnreadBody reason) {
        RequestId id = context.protocol().readCall(call.head()).fold(invalid -> RequestId.of("none"), CallRequest::id);
        switch (reason) {
            case NO_MEMORY ->
                sendError(call, id, ResultCode.BODY_MEMORY_FULL, NO_MEMORY_RETRY_AFTER_MS, "no memory for its body");
            case STOPPING ->
                sendError(call, id, ResultCode.STOPPING, STOPPING_RETRY_AFTER_MS, "stopping before its body was read");
        }
    }

    @Override
    public void onUnfinished(UnfinishedRequest request) {
        unhandled.onUnfinished(request);
    }

    @Override
    public void onCut(CutResponse response) {
        unhandled.onCut(response);
    }

    /** Adds to a line how many requests ended so far before their head was complete, by how they ended. */
    public LogLine addUnidentified(LogLine line) {
        return unhandled.addUnidentified(line);
    }

    /** Continues the calls in the startup queue if the configuration and the instances are known by now. */
    public void releaseStartupQueue() {
        if (configuration.get().isPresent() && context.fleet().listLoaded()) {
            startupQueue.release(this::onCall);
        }
    }

    private void start(
            IncomingCall call,
            CallRequest request,
            Route route,
            ServingConfiguration known,
            CallerIdentity caller,
            QuotaHold quotaHold) {
        ServiceName service = pickTarget(route.targets());
        boolean runsModels =
                known.service(service).flatMap(ServiceDefinition::engine).isPresent();
        Optional<ModelDemand> demand = runsModels ? request.demand() : Optional.empty();
        long deadlineAtMs = call.arrivedAtMs() + Math.max(1, budgetMs(request, route) - RESPONSE_RESERVE_MS);
        CallView view = new CallView(
                service, route, demand, call.arrivedAtMs(), deadlineAtMs, () -> RequestDigester.digest(call), caller);
        // Computed now, since the body is released before the end of the call is handled.
        view.digest();
        if (!context.quarantine().quarantined(view)) {
            arrivals.accept(view);
        }
        Exchange exchange =
                new Exchange(context, ++callCount, call, request, view, quotaHold, known.version(), open::remove);
        open.add(exchange);
        exchange.start();
        if (stopping) {
            exchange.logOpen();
        }
    }

    /** Logs the open calls, and from now on each new one, because this entry stops. */
    public void logOpenCalls() {
        stopping = true;
        open.forEach(Exchange::logOpen);
    }

    /** Ends all open calls with an error, because this entry stops before their responses. */
    public void failOpenCalls() {
        List.copyOf(open).forEach(Exchange::failAtStop);
    }

    private ServiceName pickTarget(List<WeightedService> targets) {
        double total = 0;
        for (WeightedService target : targets) {
            total += target.weight();
        }
        double remainingWeight = random.nextDouble() * total;
        for (WeightedService target : targets) {
            remainingWeight -= target.weight();
            if (remainingWeight < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private void sendError(IncomingCall call, RequestId id, ResultCode code, long retryAfterMs, String why) {
        context.log()
                .event("call")
                .with("request", id)
                .with("code", code.number())
                .with("status", code.httpStatus())
                .with("why", why)
                .write();
        ErrorResponse.send(context.protocol(), call.response(), id, code, retryAfterMs);
    }
}
