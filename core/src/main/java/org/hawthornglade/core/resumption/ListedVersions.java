package org.hawthornglade.core.resumption;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.store.StoreEra;

/**
 * The versions of a service's software at which streams may have begun, as listed in the store.
 *
 * <p>No entry sends a stream to a version that it has not seen here, so that one that is missing has begun none. After
 * the store was restored from an older copy a version may be missing for another reason; the list is then incomplete
 * until the streams of that time have ended.
 *
 * @param versions the versions
 * @param era the era of the store in which the list was written
 * @param incompleteUntilMs until when versions may be missing, on the store's clock in milliseconds
 */
public record ListedVersions(Set<SoftwareVersion> versions, StoreEra era, long incompleteUntilMs) {
    /** Copies the set. */
    public ListedVersions {
        versions = ImmutableSet.copyOf(versions);
    }

    /**
     * Returns the only version that can have begun a stream, if this is certain.
     *
     * @param currentEra the era of the store when the list was read
     * @param storeNowMs the store's clock when the list was read
     */
    public Optional<SoftwareVersion> only(StoreEra currentEra, long storeNowMs) {
        boolean complete = era.equals(currentEra) && storeNowMs >= incompleteUntilMs;
        if (!complete || versions.size() != 1) {
            return Optional.empty();
        }
        return versions.stream().filter(SoftwareVersion::known).findFirst();
    }
}
