package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Callers ask by HEAD on kept connections, and a server loses the answers of a few requests that it ran.
 *
 * <p>Arguments: root of the repository, record, 1 with lost answers and 0 without.
 */
public final class HeadCase {
    private static final int CALLERS = 16;
    private static final int PLAY_MS = 16_000;
    /** When answers begin to be lost, and for how long, as in the site file. */
    private static final int LOST_FROM_MS = 5_000;

    private static final int LOST_FOR_MS = 5_500;
    /** One answer of so many is lost: a share of 0.025, as in the site file. */
    private static final int LOST_EACH = 40;

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"stock","host":"stock.example","pathPrefix":"/stock/","kind":"safe","timeoutMs":3000,
            "goalMs":300,"priority":2,"service":"order-desk","attempts":1}],
            "services":[{"name":"order-desk","healthCheck":"/health","maxConns":96,"protocol":"h1","tls":false}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """;

    private final Record record;
    private final boolean trouble;
    private final Store store;
    private final Gateways gateways;
    private int requests;
    private int answers;
    private int strayed;

    private HeadCase(Path root, Record record, boolean trouble) throws IOException {
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
            code = new HeadCase(Path.of(args[0]), record, args[2].equals("1")).play();
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
            servers.add(new PlainServer("i-" + i, "order-desk", "z-a", 6, 60, PlainServer.newRuns(), record));
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
        long untilMs = Record.nowMs() + PLAY_MS;
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Threads.start("caller", () -> send(gateway, number, untilMs)));
        }
        if (trouble) {
            // One of four servers; the site file has a share of 0.45.
            Thread.sleep(LOST_FROM_MS);
            servers.get(0).loseAnswers(LOST_EACH);
            Thread.sleep(LOST_FOR_MS);
            servers.get(0).loseAnswers(0);
        }
        for (Thread caller : callers) {
            caller.join(PLAY_MS + 5_000);
        }
        record.line(requests + " requests, " + answers + " answers of 200, " + strayed
                + " times bytes that are no answer (allowed: 0)");
        return answers == 0 ? 2 : strayed > 0 ? 1 : 0;
    }

    private void send(Gateways.Gateway gateway, int number, long untilMs) throws Exception {
        while (Record.nowMs() < untilMs) {
            try (Socket socket = new Socket("127.0.0.1", gateway.front)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(5_000);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                boolean sound = true;
                while (sound && Record.nowMs() < untilMs) {
                    sound = call(socket.getOutputStream(), in, number);
                    Thread.sleep(20);
                }
            } catch (IOException e) {
                record.line("caller " + number + " " + e.getMessage());
            }
        }
    }

    /** Sends a request and reads its answer; returns whether the connection can carry another one. */
    private boolean call(OutputStream out, BufferedInputStream in, int number) throws IOException {
        String id;
        synchronized (this) {
            id = String.format("%016x", 0xb000000L + ++requests);
        }
        Http.write(
                out,
                "HEAD /stock/x HTTP/1.1\r\nHost: stock.example\r\nX-Request-Id: " + id
                        + "\r\nX-Deadline-Ms: 3000\r\n\r\n");
        String first = Http.readLine(in);
        if (first == null) {
            return false;
        }
        if (!first.startsWith("HTTP/1.1 ")) {
            record.line("caller " + number + " waits for the answer to " + id + " and gets: " + first);
            synchronized (this) {
                strayed++;
            }
            return false;
        }
        for (String line = Http.readLine(in); line != null && !line.isEmpty(); line = Http.readLine(in)) {
            if (line.equalsIgnoreCase("connection: close")) {
                return false;
            }
        }
        record.line("caller " + number + " " + id + " " + first);
        synchronized (this) {
            answers += first.contains(" 200 ") ? 1 : 0;
        }
        return true;
    }
}
