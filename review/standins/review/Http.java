package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
    private Http() {}

    /** A message without its body; the first line is kept whole, and header names are in lower case. */
    static final class Head {
        String firstLine;
        final Map<String, String> headers = new LinkedHashMap<>();

        String get(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String uri() {
            return firstLine.split(" ")[1];
        }
    }

    /** Reads a head; returns null at the end of the connection before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Head head = new Head();
        head.firstLine = line;
        while (true) {
            line = readLine(in);
            if (line == null) {
                throw new EOFException("the connection ended inside a head");
            }
            if (line.isEmpty()) {
                return head;
            }
            int colon = line.indexOf(':');
            head.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int value = in.read();
            if (value < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended inside a line");
            }
            if (value == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(value);
        }
    }

    /** Reads a body with a length or in chunks. */
    static byte[] readBody(Head head, InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(head.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk = readChunk(in);
            while (chunk.length > 0) {
                body.writeBytes(chunk);
                chunk = readChunk(in);
            }
            return body.toByteArray();
        }
        String length = head.get("content-length");
        return length == null ? new byte[0] : readFully(in, Integer.parseInt(length));
    }

    /** Reads one chunk; an empty one is the last. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("the connection ended before a chunk");
        }
        byte[] chunk = readFully(in, Integer.parseInt(size.trim(), 16));
        if (readLine(in) == null) {
            throw new EOFException("the connection ended after a chunk");
        }
        return chunk;
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void writeChunk(OutputStream out, String text) throws IOException {
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
