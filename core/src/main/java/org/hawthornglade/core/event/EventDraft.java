package org.hawthornglade.core.event;

import java.util.Objects;
import org.hawthornglade.core.result.ResultCode;

/** Builds an event, to which the timeline adds a time and a sequence number. */
public final class EventDraft {
    private final EventKind kind;
    private String request;
    private String attempt;
    private String model;
    private String instance;
    private long configVersion;
    private int code;
    private String detail = "";

    private EventDraft(EventKind kind) {
        this.kind = Objects.requireNonNull(kind, "kind");
    }

    /** Creates a draft of the given kind. */
    public static EventDraft of(EventKind kind) {
        return new EventDraft(kind);
    }

    /** Sets the request concerned. */
    public EventDraft request(Object id) {
        request = textOf(id);
        return this;
    }

    /** Sets the attempt concerned. */
    public EventDraft attempt(Object id) {
        attempt = textOf(id);
        return this;
    }

    /** Sets the model, adapter or service concerned. */
    public EventDraft model(Object name) {
        model = textOf(name);
        return this;
    }

    /** Sets the instance concerned. */
    public EventDraft instance(Object id) {
        instance = textOf(id);
        return this;
    }

    /** Sets the instance concerned unless it is already set. */
    public EventDraft instanceIfAbsent(Object id) {
        return instance == null ? instance(id) : this;
    }

    /** Sets the configuration version in force. */
    public EventDraft configVersion(long version) {
        configVersion = version;
        return this;
    }

    /** Sets the result code. */
    public EventDraft code(ResultCode result) {
        code = result.number();
        return this;
    }

    /** Sets a short explanation. */
    public EventDraft detail(String text) {
        detail = text;
        return this;
    }

    TimelineEvent complete(long timeMs, String process, long bootId, long sequence) {
        return new TimelineEvent(
                timeMs,
                process,
                bootId,
                sequence,
                kind,
                request,
                attempt,
                model,
                instance,
                configVersion,
                code,
                detail);
    }

    private static String textOf(Object id) {
        return id == null ? null : id.toString();
    }
}
