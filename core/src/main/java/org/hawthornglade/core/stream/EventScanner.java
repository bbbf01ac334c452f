package org.hawthornglade.core.stream;

/**
 * Finds the ends of the events of a stream ({@code text/event-stream}) as its bytes arrive.
 *
 * <p>An event ends with an empty line; a line ends with LF, CR LF or CR. Comment lines between events belong to none.
 */
public final class EventScanner {
    private boolean lineEmpty = true;
    private boolean comment;
    private boolean hasFields;
    private boolean afterCr;
    private boolean endedEvent;

    /** Reads the next byte of the stream. */
    public void add(byte value) {
        boolean secondOfCrLf = afterCr && value == '\n';
        endedEvent = false;
        afterCr = value == '\r';
        if (secondOfCrLf) {
            return;
        }
        if (value == '\n' || value == '\r') {
            endLine();
            return;
        }
        if (lineEmpty) {
            comment = value == ':';
        }
        lineEmpty = false;
    }

    private void endLine() {
        if (lineEmpty) {
            endedEvent = hasFields;
            hasFields = false;
        } else if (!comment) {
            hasFields = true;
        }
        lineEmpty = true;
    }

    /** Returns whether the last byte ended an event; after CR, the LF of the same end of line may follow. */
    public boolean endedEvent() {
        return endedEvent;
    }

    /** Returns whether the last byte belongs to an event, or a line, of which the end is missing. */
    public boolean insideEvent() {
        return hasFields || !lineEmpty;
    }
}
