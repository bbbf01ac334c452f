import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A model server: registers itself, reports, takes orders and answers with streams of events.
 *
 * <p>Arguments: its id, its service, its port, the store's port, the record, the check-in interval in milliseconds, the
 * models that it holds at its start (separated by commas), the number of events of a stream, the time between two of
 * them in milliseconds, and of how many streams one has neither a length nor chunks (0: none), and the
 * version of its software, which stands in each event. It checks no fences. A line {@code leave MS} on its input begins a
 * removal at short notice.
 */
public final class ModelServer {
    private static final long ADAPTER_MS = 10;
    private static final long LOAD_MS = 600;
    private static final int ADAPTER_SLOTS = 8;
    private static final int MODEL_SLOTS = 3;

    private final String id;
    private final String service;
    private final int port;
    private final int storePort;
    private final CaseRecord record;
    private final long checkInMs;
    private final int events;
    private final long gapMs;
    private final int unframedOf;
    private final String version;
    private final long bornMs = System.currentTimeMillis();
    private final Map<String, TreeMap<String, Long>> models = new TreeMap<>();
    private final Map<String, Integer> running = new TreeMap<>();
    private long busyUntilMs;
    private long orders;
    private long rows;
    private int streams;
    private boolean leaving;
    private long goneAtMs;

    private ModelServer(String[] args) {
        id = args[0];
        service = args[1];
        port = Integer.parseInt(args[2]);
        storePort = Integer.parseInt(args[3]);
        record = new CaseRecord(Path.of(args[4]), id);
        checkInMs = Long.parseLong(args[5]);
        for (String model : args[6].split(",")) {
            models.put(model, new TreeMap<>());
        }
        events = Integer.parseInt(args[7]);
        gapMs = Long.parseLong(args[8]);
        unframedOf = Integer.parseInt(args[9]);
        version = args[10];
    }

    public static void main(String[] args) throws Exception {
        ModelServer server = new ModelServer(args);
        Thread checkIn = new Thread(server::checkIn);
        checkIn.setDaemon(true);
        checkIn.start();
        Thread input = new Thread(server::readInput);
        input.setDaemon(true);
        input.start();
        Http.serve(server.port, server::handle);
    }

    private void readInput() {
        try {
            String line;
            while ((line = Http.line(System.in)) != null) {
                if (line.startsWith("leave ")) {
                    synchronized (this) {
                        leaving = true;
                        goneAtMs = System.currentTimeMillis() + Long.parseLong(line.substring(6));
                    }
                    register();
                    record.write("draining accepted by the store");
                }
            }
        } catch (Exception e) {
            record.write("input " + e);
        }
    }

    private void checkIn() {
        while (true) {
            try {
                register();
                Thread.sleep(checkInMs);
            } catch (Exception e) {
                sleep(checkInMs / 4);
            }
        }
    }

    private void register() throws Exception {
        String row;
        synchronized (this) {
            Map<String, Object> state = state();
            state.put("service", service);
            state.put("address", Http.HOST + ":" + port);
            state.put("zone", "zone-a");
            state.put("version", version);
            state.put("slots", 64);
            state.put("state", leaving ? "draining" : "ready");
            state.put("coldLeftMs", 0);
            state.put("seq", ++rows);
            if (leaving) {
                state.put("remainingMs", Math.max(0, goneAtMs - System.currentTimeMillis()));
            }
            row = Json.write(state);
        }
        Http.call(storePort, 1_000, "POST", "/standin/put?table=servers&key=" + id, row, "Host", "store");
    }

    /** What a row and a report have in common. */
    private Map<String, Object> state() {
        long nowMs = System.currentTimeMillis();
        List<Object> held = new ArrayList<>();
        models.forEach((model, adapters) -> {
            TreeSet<Object> ready = new TreeSet<>();
            adapters.forEach((adapter, readyAtMs) -> {
                if (readyAtMs <= nowMs) {
                    ready.add(adapter);
                }
            });
            held.add(Json.map("name", model, "version", 1, "adapters", ready));
        });
        return Json.map(
                "stage", "both",
                "models", held,
                "born", bornMs,
                "atHand", Json.map("inMemory", new ArrayList<>(models.keySet()), "onDisk", List.copyOf(models.keySet())));
    }

    private boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
        String expected = request.header("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Http.respond(
                    out, 421, "", "X-Not-Run", "1", "X-Instance-Id", id, "X-Request-Id", request.header("X-Request-Id"));
            return true;
        }
        switch (request.path()) {
            case "/v1/report" -> Http.respond(out, 200, report(), "Content-Type", "application/json");
            case "/v1/order" -> order(Json.object(request.text()), out);
            default -> {
                return run(request, out, socket);
            }
        }
        return true;
    }

    private synchronized String report() {
        Map<String, Object> report = state();
        report.put("busy", System.currentTimeMillis() < busyUntilMs);
        report.put("seq", orders);
        report.put("waiting", 0);
        report.put("running", running.values().stream().mapToInt(Integer::intValue).sum());
        report.put("kvUsed", 0);
        report.put("kvTotal", 250_000);
        report.put("handles", 0);
        return Json.write(report);
    }

    private void order(Map<String, Object> order, OutputStream out) throws Exception {
        int status;
        synchronized (this) {
            status = carryOut(order);
        }
        record.write("order holder=" + order.get("holder") + " fence=" + order.get("fence") + " op=" + order.get("op")
                + " model=" + order.get("model") + " adapter=" + order.get("adapter") + " expect=" + order.get("expect")
                + " status=" + status);
        Http.respond(out, status, "{}", "Content-Type", "application/json");
    }

    private int carryOut(Map<String, Object> order) {
        String model = (String) order.get("model");
        String adapter = (String) order.get("adapter");
        boolean load = "load".equals(order.get("op"));
        if (order.get("holder") == null || order.get("fence") == null || model == null) {
            return 400;
        }
        Object expect = order.get("expect");
        if (expect != null && (Long) expect != orders) {
            return 409;
        }
        long nowMs = System.currentTimeMillis();
        return adapter == null ? modelOrder(model, load, nowMs) : adapterOrder(model, adapter, load, nowMs);
    }

    private int modelOrder(String model, boolean load, long nowMs) {
        if (nowMs < busyUntilMs) {
            return 409;
        }
        if (load == models.containsKey(model)) {
            return 200;
        }
        if (load && models.size() >= MODEL_SLOTS) {
            record.write("crash: more models than its memory holds");
            Runtime.getRuntime().halt(1);
        }
        orders++;
        busyUntilMs = nowMs + (load ? LOAD_MS : 0);
        if (load) {
            models.put(model, new TreeMap<>());
        } else {
            models.remove(model);
        }
        return 202;
    }

    private int adapterOrder(String model, String adapter, boolean load, long nowMs) {
        TreeMap<String, Long> adapters = models.get(model);
        if (adapters == null) {
            return 421;
        }
        if (load == adapters.containsKey(adapter)) {
            return 200;
        }
        if (!load) {
            if (running.getOrDefault(model + "/" + adapter, 0) > 0) {
                return 409;
            }
            orders++;
            adapters.remove(adapter);
            return 200;
        }
        if (models.values().stream().mapToInt(TreeMap::size).sum() >= ADAPTER_SLOTS) {
            record.write("crash: more adapters than it has places");
            Runtime.getRuntime().halt(1);
        }
        orders++;
        adapters.put(adapter, nowMs + ADAPTER_MS);
        return 202;
    }

    private boolean run(Http.Message request, OutputStream out, Socket socket) throws Exception {
        String requestId = request.header("X-Request-Id");
        String named = request.header("X-Model");
        boolean unframed;
        synchronized (this) {
            String[] parts = named.split("/", 2);
            TreeMap<String, Long> adapters = models.get(parts[0]);
            boolean present = adapters != null
                    && (parts.length == 1
                            || adapters.getOrDefault(parts[1], Long.MAX_VALUE) <= System.currentTimeMillis());
            if (!present) {
                Http.respond(out, 421, "", "X-Not-Run", "1", "X-Instance-Id", id, "X-Request-Id", requestId);
                return true;
            }
            running.merge(named, 1, Integer::sum);
            unframed = unframedOf > 0 && ++streams % unframedOf == 0;
        }
        String from = request.header("Last-Event-Id");
        int last = from.isEmpty() ? 0 : Integer.parseInt(from);
        record.write("runs " + requestId + " " + named + " after event " + last
                + (unframed ? ", unframed" : ""));
        try {
            stream(requestId, last, unframed, out);
            record.write("finished " + requestId + " with event " + events);
        } catch (Exception e) {
            record.write("stopped " + requestId + ": connection closed");
            return false;
        } finally {
            synchronized (this) {
                running.merge(named, -1, Integer::sum);
            }
        }
        return !unframed;
    }

    private void stream(String requestId, int last, boolean unframed, OutputStream out) throws Exception {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        head.append("X-Request-Id: ").append(requestId).append("\r\nX-Server-Stamp: ").append(id);
        head.append("\r\nX-Weight-Versions: 1\r\n");
        if (leaving) {
            head.append("Server-Leaving: 1\r\n");
        }
        head.append(unframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n");
        write(out, head.toString());
        for (int event = last + 1; event <= events; event++) {
            Thread.sleep(gapMs);
            String text = "id: " + event + "\ndata: " + version + " token " + event + "\n\n";
            write(out, unframed ? text : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        if (!unframed) {
            write(out, "0\r\n\r\n");
        }
    }

    private static void write(OutputStream out, String text) throws Exception {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
