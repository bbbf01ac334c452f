package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers send two requests at once on kept connections, and an entry is stopped as planned.
 *
 * <p>Arguments: root of the repository, record, 1 with the stop and 0 without.
 */
public final class StopCase {
    private static final int CALLERS = 8;
    private static final int PLAY_MS = 14_000;
    private static final int STOP_AFTER_MS = 5_000;
    private static final int WORK_MS = 350;
    private static final int LOSS_SLACK_MS = 200;

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"stock","host":"stock.example","pathPrefix":"/stock/","kind":"safe","timeoutMs":3000,
            "goalMs":600,"priority":2,"service":"order-desk","attempts":1}],
            "services":[{"name":"order-desk","healthCheck":"/health","maxConns":96,"protocol":"h1","tls":false}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """;

    private final Record record;
    private final boolean trouble;
    private final Store store;
    private final Gateways gateways;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    private StopCase(Path root, Record record, boolean trouble) throws IOException {
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
            code = new StopCase(Path.of(args[0]), record, args[2].equals("1")).play();
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
            servers.add(new PlainServer("i-" + i, "order-desk", "z-a", 6, WORK_MS, PlainServer.newRuns(), record));
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
        long untilMs = Record.nowMs() + PLAY_MS;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Threads.start("caller", () -> send(gateway, number, untilMs)));
            Thread.sleep(50);
        }
        if (trouble) {
            Thread.sleep(STOP_AFTER_MS);
            record.line("SIGTERM to " + gateway.node);
            gateway.process.destroy();
        }
        for (Thread caller : callers) {
            caller.join(PLAY_MS + 5_000);
        }
        record.line(requests + " requests, " + answers + " answers, " + lost
                + " read with the one before them and dropped later than " + LOSS_SLACK_MS
                + " ms after they were sent (allowed: 0)");
        return answers.get() == 0 ? 2 : lost.get() > 0 ? 1 : 0;
    }

    private void send(Gateways.Gateway gateway, int number, long untilMs) throws Exception {
        while (Record.nowMs() < untilMs && gateways.ready(gateway)) {
            try (Socket socket = new Socket("127.0.0.1", gateway.front)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(5_000);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                while (open && Record.nowMs() < untilMs) {
                    open = callTwice(socket, in, number);
                    Thread.sleep(20);
                }
            } catch (IOException e) {
                record.line("caller " + number + " " + e.getMessage());
            }
        }
    }

    /** Sends two requests in one piece and reads their answers; returns whether the connection stays open. */
    private boolean callTwice(Socket socket, BufferedInputStream in, int number) throws IOException {
        String first = nextId();
        String second = nextId();
        Http.write(socket.getOutputStream(), request(first) + request(second));
        long sentMs = Record.nowMs();
        if (!readAnswer(in, first, number)) {
            return false;
        }
        if (readAnswer(in, second, number)) {
            return true;
        }
        long agoMs = Record.nowMs() - sentMs;
        record.line("caller " + number + " " + second + " was sent " + agoMs
                + " ms ago, together with the one that was answered, and its connection ends without an answer");
        if (agoMs > LOSS_SLACK_MS) {
            lost.incrementAndGet();
        }
        return false;
    }

    private String nextId() {
        return String.format("%016x", 0xc000000L + requests.incrementAndGet());
    }

    private static String request(String id) {
        return "GET /stock/x HTTP/1.1\r\nHost: stock.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 3000\r\n\r\n";
    }

    private boolean readAnswer(BufferedInputStream in, String id, int number) {
        try {
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return false;
            }
            Http.readBody(head, in);
            answers.incrementAndGet();
            record.line("caller " + number + " " + id + " " + head.firstLine + " connection: "
                    + head.headers.getOrDefault("connection", "keep-alive"));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
