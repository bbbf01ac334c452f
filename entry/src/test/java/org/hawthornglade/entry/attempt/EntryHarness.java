package org.hawthornglade.entry.attempt;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.entry.EntryDecider;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.entry.IncomingRequest;
import org.hawthornglade.core.entry.Target;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.entry.claim.ClaimKey;
import org.hawthornglade.entry.claim.SynchronousClaims;
import org.hawthornglade.ports.table.TableService;

/** An entry's request, decision and claim code on one thread, with the transport to plain-service agents simulated. */
final class EntryHarness {
    static final long DEADLINE_MS = 10_000;

    private static final ServiceName ORDERS = ServiceName.of("orders");
    private static final OrganisationId MILL = OrganisationId.of("mill");
    private static final long TICK_MS = 50;
    private static final int MAX_TICKS = 400;

    private final ManualClock clock;
    private final EntryDecider decider = new EntryDecider(FailureDomain.of("domain-a"), new Random(1));
    private final PendingRequests pending = new PendingRequests();
    private final OpenAttempts openAttempts = new OpenAttempts();
    private final Set<RequestId> undecided = new HashSet<>();
    private final SynchronousClaims claims;
    private final RequestRunner runner;
    private final AttemptTransport transport;

    EntryHarness(ManualClock clock, TableService table, AttemptTransport transport) {
        this.clock = clock;
        this.transport = transport;
        this.claims = new SynchronousClaims(table, clock);
        this.runner = new RequestRunner(
                pending,
                this::accept,
                new AttemptRunner(transport, openAttempts, clock),
                new ClaimedCalls(claims, clock),
                1_024);
        for (String instance : List.of("orders-1", "orders-2")) {
            accept(new EntryEvent.AgentReported(view(instance)));
        }
    }

    SynchronousClaims claims() {
        return claims;
    }

    Either<Failure, CompleteResponse> confirm(String request, String key) throws InterruptedException {
        return confirm(request, key, key);
    }

    Either<Failure, CompleteResponse> confirm(String request, String key, String body) throws InterruptedException {
        byte[] bytes = body.getBytes(UTF_8);
        ClaimKey claim = new ClaimKey(MILL, key, ClaimKey.fingerprint("POST", "/confirm", bytes));
        return runner.runToCompletion(caller(request, bytes, claim));
    }

    Either<Failure, CompleteResponse> lookUp(String request, String body) throws InterruptedException {
        return runner.runToCompletion(caller(request, body.getBytes(UTF_8), null));
    }

    Either<Failure, StreamingResponse> stream(String request) throws InterruptedException {
        return runner.startStreaming(caller(request, request.getBytes(UTF_8), null));
    }

    RequestRunner runner() {
        return runner;
    }

    private CallerRequest caller(String request, byte[] body, ClaimKey claim) {
        IncomingRequest incoming = new IncomingRequest(
                RequestId.of(request),
                new Target.OnService(ORDERS),
                MILL,
                ServiceClass.of("interactive"),
                1,
                clock.nowMs(),
                clock.nowMs() + DEADLINE_MS,
                claim == null);
        return new CallerRequest(incoming, new OutboundCall("POST", "/confirm", null, List.of(), body), claim);
    }

    private void accept(EntryEvent event) {
        if (event instanceof EntryEvent.RequestArrived arrived) {
            undecided.add(arrived.request().id());
        } else if (event instanceof EntryEvent.AttemptEnded ended
                && !ended.outcome().isComplete()) {
            undecided.add(RequestId.of(ended.attempt().value().replaceAll("\\.\\d+$", "")));
        }
        decide(event);
        for (int tick = 0; tick < MAX_TICKS && !undecided.isEmpty(); tick++) {
            clock.advance(TICK_MS);
            decide(new EntryEvent.Tick());
        }
    }

    private void decide(EntryEvent event) {
        decider.on(event, clock.nowMs()).forEach(this::run);
    }

    private void run(EntryCommand command) {
        if (command instanceof EntryCommand.Dispatch dispatch) {
            undecided.remove(dispatch.request());
            pending.deliver(dispatch.request(), dispatch);
        } else if (command instanceof EntryCommand.Refuse refuse) {
            undecided.remove(refuse.request());
            pending.deliver(refuse.request(), refuse);
        } else if (command instanceof EntryCommand.CancelAttempt cancel) {
            openAttempts.abort(cancel.attempt());
        } else if (command instanceof EntryCommand.StopAtAgent stop) {
            transport.cancel(stop.instance(), stop.attempt());
        }
    }

    private static AgentView view(String instance) {
        return new AgentView(
                InstanceId.of(instance),
                FailureDomain.of("domain-a"),
                1,
                1,
                1,
                false,
                true,
                List.of(),
                0,
                0,
                ORDERS,
                8);
    }
}
