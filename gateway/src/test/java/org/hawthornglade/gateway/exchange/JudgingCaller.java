package org.hawthornglade.gateway.exchange;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Makes calls by seed, and judges each response at its socket. */
final class JudgingCaller implements Runnable {
    /** Statuses of the entry that state that a call has not run. */
    private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

    private static final double LEAVING_SHARE = 0.1;
    private static final double RETRY_SHARE = 0.7;
    private static final int MAX_SENDINGS = 4;

    /** The sendings of one id. */
    private static final class Sendings {
        private final int runsPerSending;
        private int sent;
        private int refused;

        Sendings(int runsPerSending) {
            this.runsPerSending = runsPerSending;
        }

        int allowedRuns() {
            return (sent - refused) * runsPerSending;
        }
    }

    private final TestEntry entry;
    private final RunLog runs;
    private final int seed;
    private final int calls;
    private final int timeMs;
    private final Random random;
    private final Map<String, Sendings> sendings = new LinkedHashMap<>();
    private final List<String> faults = new ArrayList<>();
    private final List<String> lost = new ArrayList<>();
    private int signed;

    JudgingCaller(TestEntry entry, RunLog runs, int seed, int calls, int timeMs) {
        this.entry = entry;
        this.runs = runs;
        this.seed = seed;
        this.calls = calls;
        this.timeMs = timeMs;
        this.random = new Random(seed);
    }

    /** Returns the responses that no run of the call explains. */
    List<String> faults() {
        return faults;
    }

    /** Returns the calls that ended with 502, 504 or no complete response. */
    List<String> lost() {
        return lost;
    }

    /** Returns how many responses of endpoints were received. */
    int signed() {
        return signed;
    }

    @Override
    public void run() {
        try {
            for (int i = 0; i < calls; i++) {
                call("r-" + seed + "-" + i);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void call(String id) throws IOException {
        String route = List.of("safe", "unsafe", "stream", "resumable").get(random.nextInt(4));
        boolean stream = route.equals("stream") || route.equals("resumable");
        boolean repeatable = route.equals("safe") || route.equals("resumable");
        sendings.put(id, new Sendings(repeatable ? 2 : 1));
        for (int i = 0; i < MAX_SENDINGS; i++) {
            String method = stream ? "GET" : List.of("GET", "HEAD", "POST").get(random.nextInt(3));
            boolean served = send(method, "/" + route + "/x", id);
            if (served || random.nextDouble() >= RETRY_SHARE) {
                return;
            }
        }
    }

    /** Sends a call on a connection of its own, and returns whether it was served. */
    private boolean send(String method, String path, String id) throws IOException {
        sendings.get(id).sent++;
        String request = TestEntry.post(path, id, method.equals("POST") ? "hello" : "")
                .replace("POST", method)
                .replace(
                        "\r\n\r\n",
                        "\r\n" + TestProtocol.REMAINING_MS + ": " + timeMs + "\r\nConnection: close\r\n\r\n");
        try (Socket socket = entry.connect()) {
            long sentAt = runs.next();
            TestEntry.send(socket, request);
            if (random.nextDouble() < LEAVING_SHARE) {
                return false;
            }
            ReceivedResponse response = ReceivedResponse.parse(TestEntry.read(socket, ""), method);
            judge(method + " " + path + " " + id, id, sentAt, response);
            return response.status() >= 200 && response.status() < 300;
        }
    }

    private void judge(String call, String id, long sentAt, ReceivedResponse response) {
        if (response.stamp().isEmpty()) {
            judgeOwn(call, id, response);
            return;
        }
        signed++;
        RunLog.Run run = runs.get(response.stamp());
        boolean own = run != null && run.id().equals(id) && run.began() > sentAt;
        boolean body = run != null
                && (response.complete()
                        ? response.body().equals(run.body())
                        : run.body().startsWith(response.body()));
        if (!own || run.status() != response.status() || !body) {
            faults.add(call + " sent at " + sentAt + " got " + response + ", run " + run);
        }
        if (!response.complete()) {
            lost.add(call + " got " + response);
        }
    }

    private void judgeOwn(String call, String id, ReceivedResponse response) {
        if (REFUSALS.contains(response.status())) {
            sendings.get(id).refused++;
        } else if (response.status() == 502 || response.status() == 504) {
            lost.add(call + " got " + response);
        } else {
            faults.add(call + " got " + response);
        }
    }

    /** Judges, after the last response, whether a call ran too often or after a refusal. */
    void judgeRuns() {
        sendings.forEach((id, sent) -> {
            if (runs.count(id) > sent.allowedRuns()) {
                faults.add(id + " ran " + runs.count(id) + " times, sent " + sent.sent + ", refused " + sent.refused);
            }
        });
    }
}
