package org.hawthornglade.gateway.leader;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.hawthornglade.core.lease.LeaseRow;
import org.hawthornglade.core.lease.LeaseWrite;
import org.hawthornglade.core.lease.StoredLease;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.store.StoreRevision;
import org.hawthornglade.gateway.port.LeaseStore;
import org.hawthornglade.gateway.port.LeaseWriteResult;

/** A lease row in memory; a write that is applied may have an unknown outcome for its writer. */
final class MemoryLeaseStore implements LeaseStore {
    private StoredLease stored;
    private final List<Runnable> delayed = new ArrayList<>();
    private boolean delayResponses;
    private boolean outcomeKnown = true;

    MemoryLeaseStore(StoredLease stored) {
        this.stored = stored;
    }

    void outcomeKnown(boolean known) {
        outcomeKnown = known;
    }

    /** Delays the responses to reads until {@link #respond()}. */
    void delayResponses() {
        delayResponses = true;
    }

    /** Sends the responses that were delayed. */
    void respond() {
        List.copyOf(delayed).forEach(Runnable::run);
        delayed.clear();
    }

    LeaseRow row() {
        return stored.row().orElseThrow();
    }

    @Override
    public void read(Consumer<Either<Failure, StoredLease>> done) {
        StoredLease read = stored;
        delayed.add(() -> done.accept(Either.right(read)));
        if (!delayResponses) {
            respond();
        }
    }

    @Override
    public void write(LeaseWrite write, Consumer<LeaseWriteResult> done) {
        if (!write.expected().equals(stored.revision())) {
            done.accept(new LeaseWriteResult.Conflict(stored));
            return;
        }
        StoreRevision next =
                new StoreRevision(stored.revision().era(), stored.revision().number() + 1);
        stored = new StoredLease(next, Optional.of(write.row()));
        done.accept(outcomeKnown ? new LeaseWriteResult.Written(next) : new LeaseWriteResult.Unknown("lost"));
    }
}
