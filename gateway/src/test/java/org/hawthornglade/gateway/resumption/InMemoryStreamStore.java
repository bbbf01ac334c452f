package org.hawthornglade.gateway.resumption;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.resumption.ListedVersions;
import org.hawthornglade.core.resumption.StreamOrigin;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.store.StoreRevision;
import org.hawthornglade.gateway.port.OriginBatch;
import org.hawthornglade.gateway.port.StreamStore;

/** A store in memory that responds at once, can be away, and can be restored from an older copy. */
public final class InMemoryStreamStore implements StreamStore {
    private record Row(ListedVersions versions, long revision) {}

    private record Copy(Map<ServiceName, Row> versions, Map<RequestId, OriginBatch.Note> notes, long revision) {}

    private final LongSupplier nowMs;
    private final Map<ServiceName, Row> versions = new HashMap<>();
    private final Map<RequestId, OriginBatch.Note> notes = new HashMap<>();
    private Copy copy = new Copy(Map.of(), Map.of(), 0);
    private long revision;
    private long era;
    private boolean away;
    private int calls;

    /** Creates a store that has no rows yet. */
    public InMemoryStreamStore(LongSupplier nowMs) {
        this.nowMs = nowMs;
    }

    /** Sets whether the store does not respond. */
    public void setAway(boolean on) {
        away = on;
    }

    void copy() {
        copy = new Copy(Map.copyOf(versions), Map.copyOf(notes), revision);
    }

    void restore() {
        versions.clear();
        versions.putAll(copy.versions());
        notes.clear();
        notes.putAll(copy.notes());
        revision = copy.revision();
        era++;
    }

    long era() {
        return era;
    }

    /** Returns the number of calls that it has received. */
    int calls() {
        return calls;
    }

    /** Writes a list as another entry would. */
    public void list(ServiceName service, ListedVersions listed) {
        versions.put(service, new Row(listed, ++revision));
    }

    /** Writes a note as another entry would. */
    public void note(RequestId stream, StreamOrigin origin) {
        notes.put(stream, new OriginBatch.Note(origin, Long.MAX_VALUE));
    }

    Optional<ListedVersions> listed(ServiceName service) {
        return Optional.ofNullable(versions.get(service)).map(Row::versions);
    }

    Map<RequestId, OriginBatch.Note> notes() {
        return notes;
    }

    private <T> Either<Failure, T> respond(T value) {
        return away ? Either.left(Failure.of(ResultCode.PLATFORM_UNAVAILABLE, "away")) : Either.right(value);
    }

    @Override
    public void readVersions(ServiceName service, Consumer<Either<Failure, StoredVersions>> done) {
        calls++;
        Row row = versions.get(service);
        done.accept(respond(new StoredVersions(
                listed(service),
                new StoreRevision(new StoreEra(era), row == null ? 0 : row.revision()),
                nowMs.getAsLong())));
    }

    @Override
    public void writeVersions(
            ServiceName service,
            ListedVersions wanted,
            StoreRevision expected,
            Consumer<Either<Failure, Boolean>> done) {
        calls++;
        Row row = versions.get(service);
        boolean holds = (row == null ? 0 : row.revision()) == expected.number();
        if (!away && holds) {
            list(service, wanted);
        }
        done.accept(respond(holds));
    }

    @Override
    public void readOrigin(RequestId stream, Consumer<Either<Failure, Optional<StreamOrigin>>> done) {
        calls++;
        done.accept(respond(Optional.ofNullable(notes.get(stream)).map(OriginBatch.Note::origin)));
    }

    @Override
    public void writeOrigins(OriginBatch batch, Consumer<Either<Failure, Boolean>> done) {
        calls++;
        if (!away) {
            notes.putAll(batch.added());
            batch.removed().forEach(notes::remove);
        }
        done.accept(respond(true));
    }

    @Override
    public void readExpiries(Consumer<Either<Failure, Expiries>> done) {
        calls++;
        Map<RequestId, Long> untilMs = new HashMap<>();
        notes.forEach((stream, note) -> untilMs.put(stream, note.untilMs()));
        done.accept(respond(new Expiries(untilMs, nowMs.getAsLong())));
    }
}
