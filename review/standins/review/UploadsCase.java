package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers send small requests on kept connections while others upload bodies within the operator's limits; for some
 * seconds more of the others come, as in a burst.
 *
 * <p>Arguments: root of the repository, record, 1 with the burst and 0 without.
 */
public final class UploadsCase {
    private static final int BODY_BYTES = 4_000_000;
    private static final int UPLOAD_MS = 6_000;
    private static final int PIECES = 100;
    private static final double UPLOADS_PER_S = 2.5;
    /** The largest dose of a burst on a class of requests in the site file, and its length. */
    private static final double BURST_X = 2.4;

    private static final int BURST_MS = 4_500;
    private static final int BEFORE_BURST_MS = 9_000;
    private static final int AFTER_BURST_MS = 12_000;
    private static final int SMALL_CALLERS = 12;
    private static final int TIMEOUT_MS = 3_000;
    private static final int SLACK_MS = 500;
    private static final int MIN_LATE = 8;
    private static final double MAX_LATE_SHARE = 0.25;

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"orders","host":"orders.example","pathPrefix":"/orders/","kind":"unsafe","timeoutMs":3000,
            "goalMs":300,"priority":2,"service":"order-desk","attempts":1},
            {"name":"files","host":"files.example","pathPrefix":"/files/","kind":"unsafe","timeoutMs":10000,
            "goalMs":3000,"priority":2,"service":"file-desk","attempts":1}],
            "services":[{"name":"order-desk","healthCheck":"/health","maxConns":96,"protocol":"h1","tls":false},
            {"name":"file-desk","healthCheck":"/health","maxConns":96,"protocol":"h1","tls":false}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """;

    private final Record record;
    private final boolean trouble;
    private final Store store;
    private final Gateways gateways;
    private final Map<String, Integer> runs = PlainServer.newRuns();
    /** What came of each small request, and after how many milliseconds. */
    private final Map<String, Long> tookMs = new ConcurrentHashMap<>();

    private final Map<String, String> ends = new ConcurrentHashMap<>();
    private final AtomicInteger next = new AtomicInteger();
    private volatile long untilMs;

    private UploadsCase(Path root, Record record, boolean trouble) throws IOException {
        this.record = record;
        this.trouble = trouble;
        this.store = new Store();
        this.gateways = new Gateways(root);
    }

    /** Plays the case and exits with 1 if the rule was broken, 0 if it held. */
    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[1]));
        int code;
        try {
            code = new UploadsCase(Path.of(args[0]), record, args[2].equals("1")).play();
        } catch (Exception e) {
            record.line("could not run: " + e);
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    private int play() throws Exception {
        List<PlainServer> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(new PlainServer("i-order-" + i, "order-desk", "z-a", 6, 60, runs, record));
            servers.add(new PlainServer("i-file-" + i, "file-desk", "z-a", 16, 200, runs, record));
        }
        store.put("op", "config", CONFIG.replace("\n", ""));
        servers.forEach(server -> store.put("servers", server.id(), server.row()));
        Threads.start("check-in", () -> {
            while (true) {
                Thread.sleep(1_200);
                servers.forEach(server -> store.put("servers", server.id(), server.row()));
            }
        });
        Gateways.Gateway gateway = gateways.start("front-z-a-1", "z-a", store.address());
        gateways.awaitReady(gateway, 20_000);
        Thread.sleep(4_000);
        record.line(gateway.node + " is ready and has been undisturbed for 4 s");
        long startMs = Record.nowMs();
        long burstMs = startMs + BEFORE_BURST_MS;
        untilMs = burstMs + BURST_MS + AFTER_BURST_MS;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < SMALL_CALLERS; i++) {
            callers.add(Threads.start("small", () -> sendSmall(gateway)));
        }
        while (Record.nowMs() < untilMs - UPLOAD_MS) {
            boolean burst = trouble && Record.nowMs() >= burstMs && Record.nowMs() < burstMs + BURST_MS;
            Threads.start("large", () -> sendLarge(gateway));
            Thread.sleep((long) (1_000 / (UPLOADS_PER_S * (burst ? BURST_X : 1))));
        }
        for (Thread caller : callers) {
            caller.join(Math.max(1, untilMs + 16_000 - Record.nowMs()));
        }
        record.line("the process runs still: " + gateway.process.isAlive());
        if (System.getenv("KEEP_LOG") != null) {
            Files.copy(gateway.log, Path.of(System.getenv("KEEP_LOG")));
        }
        return judge();
    }

    private void sendSmall(Gateways.Gateway gateway) throws Exception {
        while (Record.nowMs() < untilMs) {
            try (Socket socket = new Socket("127.0.0.1", gateway.front)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(15_000);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                boolean kept = false;
                while (Record.nowMs() < untilMs && call(socket.getOutputStream(), in, kept)) {
                    kept = true;
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
    }

    private boolean call(OutputStream out, BufferedInputStream in, boolean kept) {
        String id = String.format("%016x", 0xa000000L + next.incrementAndGet());
        String connection = kept ? "kept" : "new";
        long sentMs = Record.nowMs();
        String end;
        try {
            Http.write(
                    out,
                    "POST /orders/x HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: " + id
                            + "\r\nX-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody");
            Http.Head head = Http.readHead(in);
            if (head == null) {
                end = "closed without an answer";
            } else {
                Http.readBody(head, in);
                end = "status " + head.status();
            }
        } catch (IOException e) {
            end = "cut: " + e.getMessage();
        }
        tookMs.put(id, Record.nowMs() - sentMs);
        ends.put(id, connection + " " + end);
        record.line("small " + id + " on a " + connection + " connection: " + end + " after "
                + tookMs.get(id) + " ms");
        return end.equals("status 200");
    }

    private void sendLarge(Gateways.Gateway gateway) throws Exception {
        byte[] piece = new byte[BODY_BYTES / PIECES];
        String id = String.format("%016x", 0xf000000L + next.incrementAndGet());
        String end;
        try (Socket socket = new Socket("127.0.0.1", gateway.front)) {
            socket.setSoTimeout(15_000);
            OutputStream out = socket.getOutputStream();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.write(
                    out,
                    "POST /files/x HTTP/1.1\r\nHost: files.example\r\nX-Request-Id: " + id
                            + "\r\nX-Deadline-Ms: 9000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
            for (int i = 0; i < PIECES; i++) {
                out.write(piece);
                Thread.sleep(UPLOAD_MS / PIECES);
            }
            Http.Head head = Http.readHead(in);
            end = head == null ? "closed without an answer" : head.firstLine;
        } catch (IOException e) {
            end = "cut: " + e.getMessage();
        }
        record.line("large " + id + ": " + end);
    }

    private int judge() {
        int lasted = 0;
        int late = 0;
        Map<String, Integer> sums = new TreeMap<>();
        for (Map.Entry<String, String> each : ends.entrySet()) {
            long ms = tookMs.get(each.getKey());
            String ran = runs.containsKey(each.getKey()) ? ", ran" : ", did not run";
            String within = ms <= TIMEOUT_MS ? ", within its timeout" : ", after its timeout";
            sums.merge(each.getValue() + ran + within, 1, Integer::sum);
            lasted += ms > TIMEOUT_MS ? 1 : 0;
            late += ms > TIMEOUT_MS + SLACK_MS || !each.getValue().contains("status") ? 1 : 0;
        }
        sums.forEach((what, count) -> record.line(count + " small requests: " + what));
        record.line(lasted + " small requests lasted longer than their route's timeout of " + TIMEOUT_MS + " ms; " + late
                + " had no final answer " + SLACK_MS + " ms after it (broken with " + MIN_LATE
                + " or more and over a quarter)");
        if (ends.isEmpty()) {
            return 2;
        }
        return late >= MIN_LATE && late > MAX_LATE_SHARE * lasted ? 1 : 0;
    }
}
