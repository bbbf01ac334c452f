package org.hawthornglade.core.resumption;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;

/** The origins of the streams whose first event this entry passed on, until no caller can take them up any more. */
public final class StreamOrigins {
    /** Maximum number of streams; the oldest are forgotten first. */
    static final int MAX_STREAMS = 50_000;

    /**
     * The origin of one stream.
     *
     * @param stream the caller's attempt that brought the first event
     * @param origin where it began
     * @param untilMs when it is forgotten, on the steady clock
     */
    public record Entry(RequestId stream, StreamOrigin origin, long untilMs) {}

    private final Map<RequestId, Entry> entries = new LinkedHashMap<>();

    /**
     * Remembers where a stream began; an id that is used for streams of two versions is compatible with none.
     *
     * @return what is remembered now
     */
    public Entry onBegun(RequestId stream, StreamOrigin origin, long untilMs) {
        Entry known = entries.remove(stream);
        boolean contradicts = known != null && !known.origin().equals(origin);
        StreamOrigin kept = contradicts ? new StreamOrigin(origin.service(), SoftwareVersion.UNKNOWN) : origin;
        Entry entry = new Entry(stream, kept, untilMs);
        entries.put(stream, entry);
        if (entries.size() > MAX_STREAMS) {
            entries.remove(entries.keySet().iterator().next());
        }
        return entry;
    }

    /** Forgets a stream that has reached its caller whole. */
    public void forget(RequestId stream) {
        entries.remove(stream);
    }

    /** Forgets the streams whose time is over. */
    public void expire(long nowMs) {
        Iterator<Entry> all = entries.values().iterator();
        while (all.hasNext()) {
            if (all.next().untilMs() <= nowMs) {
                all.remove();
            }
        }
    }

    /** Returns where a stream began, if this entry knows it. */
    public Optional<StreamOrigin> find(RequestId stream) {
        return Optional.ofNullable(entries.get(stream)).map(Entry::origin);
    }

    /** Returns the streams of a service. */
    public List<Entry> ofService(ServiceName service) {
        List<Entry> found = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.origin().service().equals(service)) {
                found.add(entry);
            }
        }
        return found;
    }

    /** Returns the number of remembered streams. */
    public int size() {
        return entries.size();
    }
}
