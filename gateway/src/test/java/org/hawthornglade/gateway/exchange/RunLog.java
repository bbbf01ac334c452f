package org.hawthornglade.gateway.exchange;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

/** Records the runs of all endpoints of a test, in the order in which runs and sendings began. */
final class RunLog {
    /** A run: the id of its request, its position in the order, and the response that it gave. */
    record Run(String id, long began, int status, String body) {}

    private final AtomicLong order = new AtomicLong();
    private final Map<String, Run> runs = new ConcurrentHashMap<>();

    /** Returns the next position in the order. */
    long next() {
        return order.incrementAndGet();
    }

    /** Adds a run that begins now, and returns its stamp. */
    String add(String id, int status, UnaryOperator<String> body) {
        long began = next();
        String stamp = "run-" + began;
        runs.put(stamp, new Run(id, began, status, body.apply(stamp)));
        return stamp;
    }

    /** Returns the run with a stamp; null if there is none. */
    Run get(String stamp) {
        return runs.get(stamp);
    }

    /** Returns how often a request with this id ran. */
    long count(String id) {
        return runs.values().stream().filter(run -> run.id().equals(id)).count();
    }
}
