package org.hawthornglade.gateway.exchange;

import java.util.ArrayList;
import java.util.List;

/**
 * An event stream as its caller reads it.
 *
 * <p>It is written from the format ({@code text/event-stream}) alone, so that the entry's reader is not its own judge.
 *
 * @param pieces the events with data, in their order
 * @param unknownLines the lines that are no field of the format
 */
record ReceivedStream(List<Piece> pieces, List<String> unknownLines) {
    /**
     * A piece that the caller passes to its user.
     *
     * @param id the value of the last id field of its event; empty if there is none
     * @param data the values of its data fields, joined by LF
     */
    record Piece(String id, String data) {}

    private static final List<String> NAMES = List.of("id", "data", "event", "retry", TestProtocol.WEIGHTS_FIELD);

    /** Reads a body from which the transfer encoding was removed. */
    static ReceivedStream read(String body) {
        ReceivedStream stream = new ReceivedStream(new ArrayList<>(), new ArrayList<>());
        String id = "";
        List<String> data = new ArrayList<>();
        for (String line : completeLines(body)) {
            if (line.isEmpty()) {
                stream.addPiece(id, data);
                id = "";
                data.clear();
                continue;
            }
            String[] parts = line.split(":", 2);
            String value = parts.length < 2 ? "" : parts[1].startsWith(" ") ? parts[1].substring(1) : parts[1];
            switch (parts[0]) {
                case "" -> {}
                case "id" -> id = value.indexOf('\0') < 0 ? value : id;
                case "data" -> data.add(value);
                default -> stream.addUnknown(parts[0], line);
            }
        }
        return stream;
    }

    private static List<String> completeLines(String body) {
        List<String> lines = new ArrayList<>(List.of(body.split("\r\n|\r|\n", -1)));
        lines.remove(lines.size() - 1);
        return lines;
    }

    private void addPiece(String id, List<String> data) {
        if (!data.isEmpty()) {
            pieces.add(new Piece(id, String.join("\n", data)));
        }
    }

    private void addUnknown(String name, String line) {
        if (!NAMES.contains(name)) {
            unknownLines.add(line);
        }
    }
}
