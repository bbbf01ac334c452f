package org.hawthornglade.bench.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Decision;
import org.hawthornglade.core.dispatch.Dispatcher;
import org.hawthornglade.core.dispatch.FirstTokenSelector;
import org.hawthornglade.core.dispatch.LeastLoadedSelector;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.SendPermission;
import org.hawthornglade.core.fleet.Variant;
import org.hawthornglade.core.limit.PermitAllocator;
import org.hawthornglade.core.limit.PermitClient;
import org.hawthornglade.core.notice.AdvertisedLimit;
import org.hawthornglade.core.notice.EndpointNotices;

/** Emulates one process of an entry: the real decisions with the minimum around them to handle a call. */
final class EmulatedEntry {
    /** The time to open a connection, in addition to the network delay, in milliseconds. */
    private static final long CONNECT_MS = 1;

    private static final Comparator<EmulatedCall> URGENT_FIRST = Comparator.comparingInt(
                    (EmulatedCall call) -> call.view().route().priority())
            .thenComparingLong(call -> call.view().arrivedAtMs());

    private final int number;
    private final VirtualTime time;
    private final EmulatedNetwork network;
    private final CallCounts counts;
    private final Fleet fleet = new Fleet();
    private final Dispatcher dispatcher;
    private final PermitClient permitClient = new PermitClient(fleet);
    private final PermitAllocator permitAllocator = new PermitAllocator(fleet);
    private final List<EmulatedCall> waiting = new ArrayList<>();
    private long pausedUntilMs;
    private boolean killed;
    private Runnable requestNow = () -> {};

    EmulatedEntry(int number, VirtualTime time, EmulatedNetwork network, CallCounts counts, EmulatedSite site) {
        this.number = number;
        this.time = time;
        this.network = network;
        this.counts = counts;
        fleet.onSnapshot(site.records(), time.nowMs());
        this.dispatcher = new Dispatcher(
                fleet,
                new LeastLoadedSelector(EmulatedSite.LOCAL_DOMAIN),
                new FirstTokenSelector(EmulatedSite.LOCAL_DOMAIN, service -> site.engine()));
    }

    int number() {
        return number;
    }

    Fleet fleet() {
        return fleet;
    }

    /** Runs an action at once, or after the current pause; drops it if this process has been killed by then. */
    void run(Runnable action) {
        if (killed) {
            return;
        }
        if (time.nowMs() < pausedUntilMs) {
            time.at(pausedUntilMs, () -> run(action));
            return;
        }
        action.run();
    }

    void pause(long forMs) {
        pausedUntilMs = Math.max(pausedUntilMs, time.nowMs() + forMs);
    }

    /** Sets the action that sends the permit requests to the leader without delay. */
    void onPermitRequest(Runnable action) {
        requestNow = action;
    }

    PermitClient permitClient() {
        return permitClient;
    }

    PermitAllocator permitAllocator() {
        return permitAllocator;
    }

    /** Kills this process together with its calls. */
    void kill() {
        killed = true;
    }

    boolean killed() {
        return killed;
    }

    boolean paused() {
        return time.nowMs() < pausedUntilMs;
    }

    void onCall(CallView view) {
        counts.called();
        run(() -> decide(new EmulatedCall(view)));
    }

    /** Decides again on the waiting calls, the most urgent first. */
    void reconsider() {
        List<EmulatedCall> calls = new ArrayList<>(waiting);
        calls.sort(URGENT_FIRST);
        waiting.clear();
        calls.forEach(this::decide);
    }

    private void decide(EmulatedCall call) {
        call.permitWaiter().leave();
        Decision decision = dispatcher.decide(call.view(), time.nowMs());
        if (decision instanceof Decision.Send sending) {
            send(call, sending.endpoint());
        } else if (decision instanceof Decision.AwaitPermit awaiting) {
            waiting.add(call);
            if (call.permitWaiter().join(awaiting, call.view(), time.nowMs())) {
                requestNow.run();
            }
        } else if (decision instanceof Decision.Wait) {
            waiting.add(call);
        } else {

            counts.refused();
        }
    }

    private void send(EmulatedCall call, Endpoint endpoint) {
        CallView view = call.view();
        Optional<Variant> variant = view.demand().map(demand -> new Variant(demand.model(), demand.adapter()));
        long tokens = view.demand().map(ModelDemand::kvTokens).orElse(0L);
        endpoint.load().begin(variant, tokens, 0);
        Runnable ended = () -> endpoint.load().end(variant, tokens);
        SendPermission permission = new SendPermission(endpoint, time.nowMs());
        time.after(CONNECT_MS, () -> run(() -> connected(call, endpoint, permission, ended)));
    }

    private void connected(EmulatedCall call, Endpoint endpoint, SendPermission permission, Runnable ended) {
        if (!permission.valid(time.nowMs())) {
            ended.run();
            decide(call);
            return;
        }
        long sentAtMs = time.nowMs();
        EndpointNotices notices = endpoint.notices();
        network.send(
                endpoint.id(),
                number,
                call.view().arrivedAtMs(),
                answer -> run(() -> onHead(call, endpoint, notices, answer, sentAtMs, ended)));
    }

    private void onHead(
            EmulatedCall call,
            Endpoint endpoint,
            EndpointNotices notices,
            Answer answer,
            long sentAtMs,
            Runnable ended) {
        long nowMs = time.nowMs();
        network.onRelayed(endpoint.id(), number, answer, nowMs);
        applyNotices(endpoint, notices, answer, sentAtMs, nowMs);
        if (!answer.ran()) {
            ended.run();
            call.view().tried().add(endpoint.id());
            decide(call);
            return;
        }
        time.after(
                answer.workMs(),
                () -> run(() -> {
                    ended.run();
                    counts.served(call, time.nowMs());
                    reconsider();
                }));
    }

    private void applyNotices(Endpoint endpoint, EndpointNotices notices, Answer answer, long sentAtMs, long nowMs) {
        if (answer.leaving()) {
            notices.leaving().markReceived();
        }
        if (answer.pauseMs() > 0) {
            notices.pause().receive(answer.pauseMs(), nowMs);
        }
        if (notices.rateLimit().update(new AdvertisedLimit(answer.limitPerSecond(), sentAtMs, nowMs))) {
            endpoint.permits().onLimitAdvertised(nowMs);
            requestNow.run();
        }
    }
}
