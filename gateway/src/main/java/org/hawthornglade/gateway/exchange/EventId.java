package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** The id of an event of a stream. */
record EventId(String text) {
    private static final byte[] FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    /** Reads the id of a complete event; the last one counts if it has several. */
    static Optional<EventId> read(ByteBuf bytes, int start, int end) {
        Optional<EventId> id = Optional.empty();
        int lineStart = start;
        for (int i = start; i < end; i++) {
            byte value = bytes.getByte(i);
            if (value == '\n' || value == '\r') {
                if (isId(bytes, lineStart, i)) {
                    id = Optional.of(readLine(bytes, lineStart, i));
                }
                lineStart = i + 1;
            }
        }
        return id;
    }

    private static boolean isId(ByteBuf bytes, int start, int end) {
        if (end - start <= FIELD.length) {
            return false;
        }
        for (int i = 0; i < FIELD.length; i++) {
            if (bytes.getByte(start + i) != FIELD[i]) {
                return false;
            }
        }
        return true;
    }

    private static EventId readLine(ByteBuf bytes, int start, int end) {
        int from = start + FIELD.length;
        return new EventId(
                bytes.toString(from, end - from, StandardCharsets.UTF_8).trim());
    }

    /** Returns whether this id says where in its stream an event is; an empty one doesn't. */
    boolean known() {
        return !text.isEmpty();
    }

    /**
     * Returns whether an event with this id may follow the one with the given id.
     *
     * <p>Numbers of any length are compared by value. No order is known of other ids: only the same id again is
     * certainly not a later event.
     */
    boolean mayFollow(EventId last) {
        if (isNumber() && last.isNumber()) {
            return compareNumbers(text, last.text) > 0;
        }
        return !text.equals(last.text);
    }

    private boolean isNumber() {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return false;
            }
        }
        return true;
    }

    private static int compareNumbers(String a, String b) {
        int startA = leadingZeros(a);
        int startB = leadingZeros(b);
        int byLength = Integer.compare(a.length() - startA, b.length() - startB);
        return byLength != 0 ? byLength : a.substring(startA).compareTo(b.substring(startB));
    }

    private static int leadingZeros(String number) {
        int zeros = 0;
        while (zeros < number.length() && number.charAt(zeros) == '0') {
            zeros++;
        }
        return zeros;
    }
}
