package org.hawthornglade.core.event;

import java.util.Objects;
import org.hawthornglade.core.result.ResultCode;

/** An event before the time line gives it a time and a sequence number. */
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

    /** Starts an event of a kind. */
    public static EventDraft of(EventKind kind) {
        return new EventDraft(kind);
    }

    /** Names the request concerned. */
    public EventDraft request(Object id) {
        request = textOf(id);
        return this;
    }

    /** Names the attempt concerned. */
    public EventDraft attempt(Object id) {
        attempt = textOf(id);
        return this;
    }

    /** Names the model, adapter or service concerned. */
    public EventDraft model(Object name) {
        model = textOf(name);
        return this;
    }

    /** Names the instance concerned. */
    public EventDraft instance(Object id) {
        instance = textOf(id);
        return this;
    }

    /** Names the instance concerned unless one is named already. */
    public EventDraft instanceIfAbsent(Object id) {
        return instance == null ? instance(id) : this;
    }

    /** Gives the configuration version in force. */
    public EventDraft configVersion(long version) {
        configVersion = version;
        return this;
    }

    /** Gives the outcome. */
    public EventDraft code(ResultCode result) {
        code = result.number();
        return this;
    }

    /** Says why, in a few words. */
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
