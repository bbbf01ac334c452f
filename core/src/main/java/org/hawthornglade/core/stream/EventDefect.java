package org.hawthornglade.core.stream;

/** The reason why an event can't be a part of a stream. */
public enum EventDefect {
    /** A line is the first line of an HTTP response. */
    STATUS_LINE,
    /** A line is none of the fields that events have. */
    UNKNOWN_FIELD,
    /** The value of a field, or its place, is not what the field allows. */
    INVALID_FIELD,
    /** A line ends with CR without LF: not all readers take that for the end of a line. */
    LONE_CR,
    /** The event has no id. */
    NO_ID,
    /** The id is empty or consists of blanks. */
    EMPTY_ID,
    /** The id is not a number. */
    ID_NOT_A_NUMBER,
    /** The event has more than one id. */
    SEVERAL_IDS,
    /** The event has an id or a type, but no data. */
    NO_DATA
}
