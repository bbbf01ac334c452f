import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: rows, conditional transactions and feeds. Arguments: its port and the check-in interval of
 * servers in milliseconds. The operator and the servers write by {@code POST /standin/put?table=T&key=K}.
 */
public final class Store {
    private record Row(String table, String part, String key, String value, long ver, boolean deleted, long atMs) {}

    private static final Map<String, Row> ROWS = new TreeMap<>();
    private static long version;

    public static void main(String[] args) throws Exception {
        long silenceMs = 3 * Long.parseLong(args[1]);
        Thread expiry = new Thread(() -> expire(silenceMs));
        expiry.setDaemon(true);
        expiry.start();
        Http.serve(Integer.parseInt(args[0]), (request, out, socket) -> {
            handle(request, out);
            return true;
        });
    }

    private static void expire(long silenceMs) {
        while (true) {
            synchronized (ROWS) {
                long nowMs = System.currentTimeMillis();
                for (Row row : List.copyOf(ROWS.values())) {
                    if (row.table.equals("servers") && !row.deleted && nowMs - row.atMs > silenceMs) {
                        put(row.table, row.part, row.key, "", true);
                    }
                }
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String id(String table, String part, String key) {
        return table + "\0" + part + "\0" + key;
    }

    private static void put(String table, String part, String key, String value, boolean deleted) {
        version++;
        ROWS.put(
                id(table, part, key),
                new Row(table, part, key, value, version, deleted, System.currentTimeMillis()));
        ROWS.notifyAll();
    }

    private static void handle(Http.Message request, OutputStream out) throws Exception {
        Map<String, String> query = request.query();
        switch (request.path()) {
            case "/standin/put" -> {
                synchronized (ROWS) {
                    String value = Base64.getEncoder().encodeToString(request.body);
                    put(query.get("table"), "", query.get("key"), value, request.body.length == 0);
                }
                Http.respond(out, 200, "{}");
            }
            case "/v1/rows-get" -> reply(out, 200, get(query));
            case "/v1/rows-feed" -> reply(out, 200, feed(query));
            case "/v1/rows-tx" -> transact(Json.object(request.text()), out);
            default -> Http.respond(out, 404, "");
        }
    }

    private static void reply(OutputStream out, int status, Map<String, Object> body) throws Exception {
        Http.respond(out, status, Json.write(body), "Content-Type", "application/json", "Store-Era", "1");
    }

    private static Map<String, Object> response(List<Object> rows) {
        return Json.map(
                "rows", rows, "hasMore", false, "ver", version, "nowMs", System.nanoTime() / 1_000_000);
    }

    private static Map<String, Object> json(Row row) {
        Map<String, Object> json = Json.map(
                "table", row.table, "part", row.part, "key", row.key, "value", row.value, "ver", row.ver);
        if (row.deleted) {
            json.put("deleted", true);
        }
        return json;
    }

    private static Map<String, Object> get(Map<String, String> query) {
        synchronized (ROWS) {
            List<Object> rows = new ArrayList<>();
            int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
            for (Row row : ROWS.values()) {
                if (!row.deleted
                        && row.table.equals(query.get("table"))
                        && row.part.equals(query.getOrDefault("part", ""))
                        && row.key.compareTo(query.getOrDefault("from", "")) >= 0
                        && rows.size() < limit) {
                    rows.add(json(row));
                }
            }
            return response(rows);
        }
    }

    private static Map<String, Object> feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long untilMs = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        synchronized (ROWS) {
            while (true) {
                TreeMap<Long, Object> rows = new TreeMap<>();
                for (Row row : ROWS.values()) {
                    if (row.table.equals(query.get("table")) && row.ver > after) {
                        rows.put(row.ver, json(row));
                    }
                }
                long leftMs = untilMs - System.currentTimeMillis();
                if (!rows.isEmpty() || leftMs <= 0) {
                    return response(new ArrayList<>(rows.values()));
                }
                ROWS.wait(leftMs);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private static void transact(Map<String, Object> body, OutputStream out) throws Exception {
        int status = 200;
        Map<String, Object> result;
        synchronized (ROWS) {
            List<Object> rows = new ArrayList<>();
            for (Object each : (List<Object>) body.get("expect")) {
                Map<String, Object> wanted = (Map<String, Object>) each;
                Row row = row(wanted);
                long ver = row == null || row.deleted ? 0 : row.ver;
                if (ver != (Long) wanted.get("ver")) {
                    status = 412;
                }
                if (ver > 0) {
                    rows.add(json(row));
                }
            }
            if (status == 200) {
                apply(body);
                result = response(List.of());
            } else {
                result = response(rows);
            }
        }
        reply(out, status, result);
    }

    @SuppressWarnings("unchecked")
    private static void apply(Map<String, Object> body) {
        long next = version + 1;
        for (String kind : List.of("setKeys", "remove")) {
            for (Object each : (List<Object>) body.getOrDefault(kind, List.of())) {
                Map<String, Object> row = (Map<String, Object>) each;
                version = next - 1;
                put(
                        (String) row.get("table"),
                        (String) row.get("part"),
                        (String) row.get("key"),
                        (String) row.getOrDefault("value", ""),
                        kind.equals("remove"));
            }
        }
        version = next;
    }

    private static Row row(Map<String, Object> key) {
        return ROWS.get(id((String) key.get("table"), (String) key.get("part"), (String) key.get("key")));
    }

    private Store() {}
}
