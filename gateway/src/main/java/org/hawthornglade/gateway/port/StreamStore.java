package org.hawthornglade.gateway.port;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.resumption.ListedVersions;
import org.hawthornglade.core.resumption.StreamOrigin;
import org.hawthornglade.core.store.StoreRevision;

/** Keeps in the platform's store which versions may have begun streams, and where single streams began. */
public interface StreamStore {
    /** Reads the list of a service; the read is made after this call. */
    void readVersions(ServiceName service, Consumer<Either<Failure, StoredVersions>> done);

    /**
     * Writes the list of a service if it still has the expected revision.
     *
     * @param done receives whether it was written; a failure if that is unknown
     */
    void writeVersions(
            ServiceName service,
            ListedVersions versions,
            StoreRevision expected,
            Consumer<Either<Failure, Boolean>> done);

    /** Reads where a stream began; the read is made after this call. */
    void readOrigin(RequestId stream, Consumer<Either<Failure, Optional<StreamOrigin>>> done);

    /**
     * Writes and removes notes in one transaction of at most {@link OriginBatch#MAX_NOTES} notes.
     *
     * @param done receives a failure if it is unknown whether they were written
     */
    void writeOrigins(OriginBatch batch, Consumer<Either<Failure, Boolean>> done);

    /** Reads when some of the notes are to be removed. */
    void readExpiries(Consumer<Either<Failure, Expiries>> done);

    /**
     * The list of a service, as read at one moment.
     *
     * @param versions the list; empty if there is none
     * @param revision the revision of its row, in the era of the store
     * @param storeNowMs the store's clock
     */
    record StoredVersions(Optional<ListedVersions> versions, StoreRevision revision, long storeNowMs) {}

    /**
     * When notes are to be removed.
     *
     * @param untilMs the times by stream, on the store's clock
     * @param storeNowMs the store's clock
     */
    record Expiries(Map<RequestId, Long> untilMs, long storeNowMs) {}
}
