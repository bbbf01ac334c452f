package review;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The answers of six servers end with their connections; one server crashes while streams run there.
 *
 * <p>Arguments: root of the repository, record, 1 with the crash and 0 without.
 */
public final class UnframedCase {
    private static final String MODEL = "m1";
    private static final int EVENTS = 40;
    private static final int GAP_MS = 100;
    private static final int STREAMS = 36;
    private static final int CRASH_AFTER_MS = 1_500;

    private static final String CONFIG =
            """
            {"version":1,"routes":[{"name":"review","host":"review.example","pathPrefix":"/review/",
            "kind":"streaming","timeoutMs":11000,"goalMs":2500,"priority":1,"service":"drafting","attempts":1,
            "sticky":true,"resumable":false,"gapAimMs":500}],
            "services":[{"name":"drafting","healthCheck":"/health","maxConns":360,"protocol":"h1","tls":false,
            "engine":{"slots":64,"kvTokens":263389,"weightsMb":230000,"adapterSlots":8,"loadsPerS":2.1,
            "models":[{"name":"m1","weightsMb":72700.0,"loadS":6.0,"adapters":0,"adapterMb":66.0,"warmS":0.6,
            "diskS":0.78}]}}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """;

    private static final class Server {
        final String id;
        final String version;
        final String zone;
        Process process;
        int port;
        long born;
        int seq;
        volatile boolean running = true;

        Server(String id, String version, String zone) {
            this.id = id;
            this.version = version;
            this.zone = zone;
        }

        String row() {
            return "{\"service\":\"drafting\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                    + "\",\"version\":\"" + version + "\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,"
                    + "\"stage\":\"both\",\"born\":" + born + ",\"models\":[{\"name\":\"" + MODEL
                    + "\",\"version\":1,\"adapters\":[]}],\"atHand\":{\"inMemory\":[\"" + MODEL + "\"],\"onDisk\":[\""
                    + MODEL + "\"]},\"seq\":" + ++seq + "}";
        }
    }

    private static final class Stream {
        final String id;
        final Set<String> versions = new LinkedHashSet<>();
        final Set<String> servers = new LinkedHashSet<>();
        int lastEvent;
        boolean complete;
        String end = "open";

        Stream(String id) {
            this.id = id;
        }
    }

    private final Record record;
    private final boolean trouble;
    private final Store store;
    private final Gateways gateways;
    private final List<Server> servers = new ArrayList<>();

    private UnframedCase(Path root, Record record, boolean trouble) throws IOException {
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
            code = new UnframedCase(Path.of(args[0]), record, args[2].equals("1")).play();
        } catch (Exception e) {
            record.line("could not run: " + e);
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    private int play() throws Exception {
        for (String id : List.of("i-1", "i-2", "i-3", "i-4", "i-5", "i-6")) {
            startServer(new Server(id, "v1", "z-a"));
        }
        store.put("op", "config", CONFIG.replace("\n", ""));
        Gateways.Gateway gateway = gateways.start("front-z-a-1", "z-a", store.address());
        gateways.awaitReady(gateway, 20_000);
        Thread.sleep(6_000);
        record.line(gateway.node + " is ready and has led for some seconds");
        List<Stream> streams = new ArrayList<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Stream stream = new Stream(String.format("%016x", 0xabc0000L + i));
            streams.add(stream);
            callers.add(Threads.start("caller", () -> call(gateway, stream)));
            Thread.sleep(20);
        }
        Thread.sleep(CRASH_AFTER_MS);
        if (trouble) {
            Server crashed = servers.get(0);
            crashed.running = false;
            crashed.process.destroyForcibly();
            record.line("server " + crashed.id + " (" + crashed.version + ") is killed");
        }
        for (Thread caller : callers) {
            caller.join(15_000);
        }
        return judge(streams);
    }

    private void startServer(Server server) throws Exception {
        server.process = gateways.standin(
                "review.ModelServer",
                List.of(server.id, server.version, MODEL, Integer.toString(EVENTS), Integer.toString(GAP_MS), "true"));
        BufferedReader lines = new BufferedReader(new InputStreamReader(server.process.getInputStream()));
        String[] first = lines.readLine().split(" ");
        server.port = Integer.parseInt(first[1]);
        server.born = Long.parseLong(first[3]);
        servers.add(server);
        record.line("server " + server.id + " runs software " + server.version);
        Threads.start("server-lines", () -> {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                record.line("server " + server.id + " " + line);
            }
        });
        store.put("servers", server.id, server.row());
        Threads.start("check-in", () -> checkIn(server));
    }

    /** Writes the server's entry as it does itself; it lapses after three intervals of silence. */
    private void checkIn(Server server) throws InterruptedException {
        while (server.running) {
            Thread.sleep(1_200);
            if (server.running) {
                store.put("servers", server.id, server.row());
            }
        }
        Thread.sleep(3_600);
        store.remove("servers", server.id);
        record.line("entry of " + server.id + " has lapsed");
    }

    private void call(Gateways.Gateway gateway, Stream stream) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", gateway.front)) {
            socket.setSoTimeout(14_000);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            String part = stream.id.substring(8);
            Http.write(
                    socket.getOutputStream(),
                    "POST /review/x HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: " + stream.id + "\r\nX-Model: "
                            + MODEL + "\r\nX-Token-Count: 900,160\r\nX-Prompt-Prefix: aa" + part + ":800,bb" + part
                            + ":100\r\nX-Deadline-Ms: 11000\r\nContent-Length: 4\r\n\r\nbody");
            Http.Head head = Http.readHead(in);
            record.line("answer " + stream.id + " " + head.firstLine);
            if (head.status() != 200) {
                stream.end = "status " + head.status();
                return;
            }
            byte[] chunk = Http.readChunk(in);
            while (chunk.length > 0) {
                read(stream, new String(chunk));
                chunk = Http.readChunk(in);
            }
            stream.complete = true;
            stream.end = "complete";
        } catch (IOException | RuntimeException e) {
            stream.end = "broken off: " + e.getMessage();
        }
        record.line("caller " + stream.id + " " + stream.end + " after event " + stream.lastEvent + " of servers "
                + stream.servers + " of software " + stream.versions);
    }

    private static void read(Stream stream, String events) {
        for (String line : events.split("\n")) {
            if (line.startsWith("id: ")) {
                stream.lastEvent = Integer.parseInt(line.substring(4));
            } else if (line.startsWith("data: ")) {
                stream.servers.add(line.split(" ")[1]);
                stream.versions.add(line.split(" ")[2]);
            }
        }
    }

    private int judge(List<Stream> streams) {
        long whole = streams.stream().filter(each -> each.complete && each.lastEvent == EVENTS).count();
        long early = streams.stream().filter(each -> each.complete && each.lastEvent < EVENTS).count();
        long cut = streams.stream().filter(each -> !each.complete).count();
        record.line(streams.size() + " streams: " + whole + " whole, " + cut + " broken off or refused, " + early
                + " ended as complete before their last event (allowed: 0)");
        if (whole == 0) {
            record.line("could not run: no stream was served");
            return 2;
        }
        return early > 0 ? 1 : 0;
    }
}
