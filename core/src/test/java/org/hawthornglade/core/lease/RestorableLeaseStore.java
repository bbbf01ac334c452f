package org.hawthornglade.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.store.StoreRevision;

/** The lease row in a store that can be restored from an older copy of itself. */
final class RestorableLeaseStore {
    private record Copy(long version, long rowVersion, Optional<LeaseRow> row) {}

    private final List<Copy> copies = new ArrayList<>();
    private StoreEra era = new StoreEra(1);
    private Copy current = new Copy(1, 0, Optional.empty());

    StoredLease read() {
        return new StoredLease(new StoreRevision(era, current.rowVersion()), current.row());
    }

    /** Carries a write out; empty if the row had another version, whatever the era in which that was read. */
    Optional<StoreRevision> write(LeaseWrite write) {
        if (write.expected().number() != current.rowVersion()) {
            return Optional.empty();
        }
        copies.add(current);
        long version = current.version() + 1;
        current = new Copy(version, version, Optional.of(write.row()));
        return Optional.of(new StoreRevision(era, version));
    }

    /** Loses the latest writes. */
    void restore(int lostWrites) {
        for (int i = 0; i < lostWrites && !copies.isEmpty(); i++) {
            current = copies.remove(copies.size() - 1);
        }
        era = new StoreEra(era.number() + 1);
    }
}
