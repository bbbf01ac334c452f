package org.hawthornglade.core.event;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;

/**
 * An event on the timeline of a process.
 *
 * @param timeMs when it happened, in milliseconds since the Unix epoch by the process's clock
 * @param process the name of the process, such as {@code entry-1}
 * @param bootId the start time of the process in milliseconds, which identifies its run
 * @param sequence the number of the event in this run, from 1
 * @param kind what happened
 * @param request the request concerned, or null
 * @param attempt the attempt concerned, or null
 * @param model the model, adapter or service concerned, or null
 * @param instance the instance concerned, or null
 * @param configVersion the configuration version in force, or 0
 * @param code the number of the result code, or 0
 * @param detail a short explanation, or an empty string
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record TimelineEvent(
        long timeMs,
        String process,
        long bootId,
        long sequence,
        EventKind kind,
        String request,
        String attempt,
        String model,
        String instance,
        long configVersion,
        int code,
        String detail) {
    /** Validates the mandatory fields. */
    public TimelineEvent {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
    }
}
