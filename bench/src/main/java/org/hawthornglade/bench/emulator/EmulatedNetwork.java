package org.hawthornglade.bench.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.hawthornglade.bench.time.VirtualTime;
import org.hawthornglade.core.id.InstanceId;

/** Delivers requests and answers between entries and endpoints, and reports arrivals to the rule checker. */
final class EmulatedNetwork {
    private static final long MIN_DELAY_MS = 1;
    private static final int DELAY_SPREAD_MS = 4;

    private final VirtualTime time;
    private final Random random;
    private final RuleChecker checker;
    private final Map<InstanceId, EmulatedEndpoint> endpoints = new HashMap<>();

    EmulatedNetwork(VirtualTime time, Random random, RuleChecker checker) {
        this.time = time;
        this.random = random;
        this.checker = checker;
    }

    void add(EmulatedEndpoint endpoint) {
        endpoints.put(endpoint.id(), endpoint);
        checker.addEndpoint(endpoint);
    }

    long delayMs() {
        return MIN_DELAY_MS + random.nextInt(DELAY_SPREAD_MS);
    }

    /** Sends a request; the head of the answer arrives after both delays, unless the entry was killed by then. */
    void send(InstanceId to, int entry, long callerSentMs, Consumer<Answer> head) {
        EmulatedEndpoint endpoint = endpoints.get(to);
        time.after(delayMs(), () -> {
            long answeredAtMs = time.nowMs();
            checker.onArrival(endpoint, entry, callerSentMs, answeredAtMs);
            Answer answer = endpoint.answer(answeredAtMs);
            time.after(delayMs(), () -> head.accept(answer));
        });
    }

    /** Reports to the rule checker that an entry relays the head of an answer. */
    void onRelayed(InstanceId from, int entry, Answer answer, long answeredAtMs) {
        checker.onRelayed(endpoints.get(from), entry, answer, answeredAtMs, time.nowMs());
    }
}
