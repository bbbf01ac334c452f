package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in of the platform's store: tables with one empty part, feeds and conditional transactions. */
final class Store {
    private static final Pattern ROW = Pattern.compile("\\{[^{}]*\\}");

    private record Row(String value, long version, boolean deleted) {}

    private final ServerSocket listener;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long version;

    Store() throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
        Threads.start("store", this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes a row as the operator or a server does. */
    synchronized void put(String table, String key, String json) {
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(value, ++version, false));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row("", ++version, true));
        notifyAll();
    }

    /** Returns a row's decoded value; null if there is none. */
    synchronized String get(String table, String key) {
        Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
        return row == null || row.deleted()
                ? null
                : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    private void acceptAll() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start("store-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            Http.Head head = Http.readHead(in);
            if (head == null) {
                socket.close();
                return;
            }
            String body = new String(Http.readBody(head, in), StandardCharsets.UTF_8);
            String answer = answer(head, body);
            int status = Integer.parseInt(answer.substring(0, 3));
            String json = answer.substring(4);
            Http.write(
                    socket.getOutputStream(),
                    "HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
                            + json.length() + "\r\n\r\n" + json);
        }
    }

    private String answer(Http.Head head, String body) {
        String path = head.uri().split("\\?")[0];
        Map<String, String> query = query(head.uri());
        try {
            return switch (path) {
                case "/v1/rows-get" -> "200 " + get(query);
                case "/v1/rows-feed" -> "200 " + feed(query);
                case "/v1/rows-tx" -> transact(body);
                default -> "404 {}";
            };
        } catch (InterruptedException e) {
            return "503 {}";
        }
    }

    private static Map<String, String> query(String uri) {
        Map<String, String> query = new HashMap<>();
        int mark = uri.indexOf('?');
        if (mark >= 0) {
            for (String pair : uri.substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
            }
        }
        return query;
    }

    private synchronized String get(Map<String, String> query) throws InterruptedException {
        Thread.sleep(2);
        StringBuilder rows = new StringBuilder();
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        String table = query.get("table");
        for (Map.Entry<String, Row> row : tables.getOrDefault(table, new TreeMap<>())
                .tailMap(query.getOrDefault("from", ""))
                .entrySet()) {
            if (!row.getValue().deleted() && limit-- > 0) {
                rows.append(rows.length() == 0 ? "" : ",").append(json(table, row.getKey(), row.getValue()));
            }
        }
        return response(rows, limit < 0);
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long untilMs = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            TreeMap<Long, String> changed = new TreeMap<>();
            tables.getOrDefault(table, new TreeMap<>()).forEach((key, row) -> {
                if (row.version() > after) {
                    changed.put(row.version(), json(table, key, row));
                }
            });
            long leftMs = untilMs - System.nanoTime() / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) {
                return response(new StringBuilder(String.join(",", changed.values())), false);
            }
            wait(leftMs);
        }
    }

    private String response(StringBuilder rows, boolean more) {
        return "{\"rows\":[" + rows + "],\"hasMore\":" + more + ",\"ver\":" + version + ",\"nowMs\":"
                + System.nanoTime() / 1_000_000 + "}";
    }

    private static String json(String table, String key, Row row) {
        return "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"value\":\"" + row.value()
                + "\",\"ver\":" + row.version() + (row.deleted() ? ",\"deleted\":true" : "") + "}";
    }

    private synchronized String transact(String body) {
        String conditions = section(body, "expect");
        StringBuilder rows = new StringBuilder();
        boolean holds = true;
        Matcher condition = ROW.matcher(conditions);
        while (condition.find()) {
            String table = field(condition.group(), "table");
            String key = field(condition.group(), "key");
            long expected = Long.parseLong(field(condition.group(), "ver"));
            Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
            boolean exists = row != null && !row.deleted();
            holds &= (exists ? row.version() : 0) == expected;
            if (exists) {
                rows.append(rows.length() == 0 ? "" : ",").append(json(table, key, row));
            }
        }
        if (!holds) {
            return "412 " + response(rows, false);
        }
        version++;
        Matcher set = ROW.matcher(section(body, "setKeys"));
        while (set.find()) {
            tables.computeIfAbsent(field(set.group(), "table"), name -> new TreeMap<>())
                    .put(field(set.group(), "key"), new Row(field(set.group(), "value"), version, false));
        }
        notifyAll();
        return "200 " + response(new StringBuilder(), false);
    }

    private static String section(String body, String name) {
        int from = body.indexOf("\"" + name + "\"");
        int open = body.indexOf('[', from);
        return body.substring(open, body.indexOf(']', open));
    }

    static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(?:\"([^\"]*)\"|(-?[0-9]+))").matcher(json);
        if (!matcher.find()) {
            throw new IllegalArgumentException(name + " is missing in " + json);
        }
        return matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
    }
}
