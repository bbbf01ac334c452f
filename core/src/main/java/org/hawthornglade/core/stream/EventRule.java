package org.hawthornglade.core.stream;

import java.util.Optional;

/** Tells which events belong to the streams of one protocol. */
public interface EventRule {
    /** Returns why an event, which has at least one field, can't be a part of a stream; empty if it can. */
    Optional<EventDefect> defect(StreamEvent event);
}
