import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The parts of HTTP/1.1 that the stand-ins need: a server with a thread for each connection, and a client. */
final class Http {
    static final String HOST = "127.0.0.1";

    private Http() {}

    /** The head of a message, and its body if it has been read. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        Map<String, String> query() {
            Map<String, String> query = new HashMap<>();
            int mark = target().indexOf('?');
            if (mark >= 0) {
                for (String pair : target().substring(mark + 1).split("&")) {
                    String[] parts = pair.split("=", 2);
                    query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
                }
            }
            return query;
        }
    }

    /** Handles one request; returns whether the connection stays open. */
    interface Handler {
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    static void serve(int port, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(HOST), port), 512);
        while (true) {
            Socket socket = listener.accept();
            Thread thread = new Thread(() -> connection(socket, handler));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private static void connection(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean open = true;
            while (open) {
                Message request = head(in);
                if (request == null) {
                    return;
                }
                request.body = body(request, in);
                open = handler.handle(request, out, socket);
            }
        } catch (Exception e) {
            // The other side has gone; its side of the record tells what it saw.
        }
    }

    /** Reads a head; null if the connection ends before it. */
    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        String line = line(in);
        if (line == null) {
            return null;
        }
        message.first = line;
        while (!(line = line(in)).isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return message;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int value;
        while ((value = in.read()) != '\n') {
            if (value < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("inside a line");
            }
            bytes.write(value);
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static byte[] body(Message message, InputStream in) throws IOException {
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            byte[] chunk;
            while ((chunk = chunk(in)).length > 0) {
                all.write(chunk);
            }
            return all.toByteArray();
        }
        String length = message.header("Content-Length");
        return length.isEmpty() ? new byte[0] : exactly(Integer.parseInt(length), in);
    }

    /** Reads a chunk; empty at the end of the body. Fails if the connection ends before that. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new EOFException("no last chunk");
        }
        byte[] bytes = exactly(Integer.parseInt(size.trim(), 16), in);
        line(in);
        return bytes;
    }

    static byte[] exactly(int length, InputStream in) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body ends early");
        }
        return bytes;
    }

    static void respond(OutputStream out, int status, String body, String... headers) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\nContent-Length: " + bytes.length + "\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Opens a connection to a port and sends a request; the caller closes it. */
    static Socket send(int port, String method, String target, byte[] body, String... headers) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getByName(HOST), port), 1_000);
        socket.setTcpNoDelay(true);
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        if (body.length > 0 || method.equals("POST")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        socket.getOutputStream().write(all.toByteArray());
        return socket;
    }

    /** Makes a call on a connection of its own. */
    static Message call(int port, int timeoutMs, String method, String target, String body, String... headers)
            throws IOException {
        try (Socket socket = send(port, method, target, body.getBytes(StandardCharsets.UTF_8), headers)) {
            socket.setSoTimeout(timeoutMs);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Message response = head(in);
            if (response == null) {
                throw new EOFException("no response");
            }
            response.body = body(response, in);
            return response;
        }
    }
}
