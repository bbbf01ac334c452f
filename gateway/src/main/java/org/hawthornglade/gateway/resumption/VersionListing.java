package org.hawthornglade.gateway.resumption;

import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.hawthornglade.core.dispatch.StreamGate;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.resumption.ListedVersions;
import org.hawthornglade.core.store.StoreEra;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.port.StreamStore;
import org.hawthornglade.gateway.port.StreamStore.StoredVersions;

/**
 * Lists in the store the versions that may begin streams, before this entry sends them any.
 *
 * <p>A version is taken off the list long after its last instance has gone.
 */
final class VersionListing implements StreamGate {
    /** The longest time after its first event in which a caller takes a stream up, in milliseconds. */
    static final long TAKE_UP_LIMIT_MS = 120_000;
    /** An absent version is listed for this long: twice the limit, since entries notice it one after another. */
    static final long ABSENT_LISTED_MS = 2 * TAKE_UP_LIMIT_MS;
    /** Entries that notice a change together read the list within this time, in milliseconds. */
    private static final int SPREAD_MS = 50;
    /** Time until the next attempt after the store did not respond, in milliseconds; it doubles with each attempt. */
    private static final int RETRY_MS = 250;

    private static final int MAX_RETRY_MS = 4_000;

    private final StreamStore store;
    private final StoreClock storeClock;
    private final Timers timers;
    private final Clock clock;
    private final EventLog log;
    private final Random random;
    private final Consumer<ServiceName> onListed;
    private final Map<ServiceName, ServiceState> services = new HashMap<>();

    /** Creates a listing of no services. */
    VersionListing(
            StreamStore store,
            StoreClock storeClock,
            Timers timers,
            Clock clock,
            EventLog log,
            Random random,
            Consumer<ServiceName> onListed) {
        this.store = store;
        this.storeClock = storeClock;
        this.timers = timers;
        this.clock = clock;
        this.log = log;
        this.random = random;
        this.onListed = onListed;
    }

    /** Handles the versions of the instances of each service. */
    void onPresent(Map<ServiceName, Set<SoftwareVersion>> present, boolean listReachable) {
        services.keySet().retainAll(present.keySet());
        present.forEach((service, versions) ->
                services.computeIfAbsent(service, ServiceState::new).onPresent(versions, listReachable));
    }

    /** Reads all lists again, after the store was restored or was out of reach. */
    void readAgain() {
        services.values().forEach(ServiceState::readAgain);
    }

    @Override
    public boolean listed(ServiceName service, SoftwareVersion version) {
        ServiceState state = services.get(service);
        return state != null && state.listed.contains(version);
    }

    /** Returns whether several versions may have begun streams of a service, as far as this entry knows. */
    boolean severalVersions(ServiceName service) {
        ServiceState state = services.get(service);
        return state != null && !state.listed.isEmpty() && state.severalVersions();
    }

    /** One service and its list, as this entry has seen it. */
    private final class ServiceState {
        private final ServiceName service;
        private final Map<SoftwareVersion, Long> absentSinceMs = new HashMap<>();
        private Set<SoftwareVersion> present = Set.of();
        private Set<SoftwareVersion> listed = new HashSet<>();
        private long incompleteUntilMs;
        private boolean outdated = true;
        private boolean reading;
        private int retryMs = RETRY_MS;

        ServiceState(ServiceName service) {
            this.service = service;
        }

        void onPresent(Set<SoftwareVersion> versions, boolean listReachable) {
            present = versions;
            updateAbsent(listReachable);
            // An absent version that comes back is looked up again, since another entry may have taken it off.
            listed.removeIf(version -> absentFor(version) > TAKE_UP_LIMIT_MS);
            check();
        }

        private void updateAbsent(boolean listReachable) {
            if (!listReachable) {
                absentSinceMs.clear();
                return;
            }
            absentSinceMs.keySet().removeAll(present);
            Sets.difference(listed, present).forEach(version -> absentSinceMs.putIfAbsent(version, clock.nowMs()));
        }

        private long absentFor(SoftwareVersion version) {
            return clock.nowMs() - absentSinceMs.getOrDefault(version, clock.nowMs());
        }

        private boolean removable(SoftwareVersion version) {
            return absentFor(version) > ABSENT_LISTED_MS;
        }

        void readAgain() {
            outdated = true;
            check();
        }

        boolean severalVersions() {
            return listed.size() > 1
                    || listed.contains(SoftwareVersion.UNKNOWN)
                    || clock.nowMs() < incompleteUntilMs
                    || !absentSinceMs.isEmpty();
        }

        private void check() {
            boolean removalDue = absentSinceMs.keySet().stream().anyMatch(this::removable);
            boolean complete = !outdated && listed.containsAll(present);
            if (reading || (complete && !removalDue) || (present.isEmpty() && listed.isEmpty())) {
                return;
            }
            reading = true;
            timers.after(random.nextInt(SPREAD_MS), this::read);
        }

        private void read() {
            outdated = false;
            store.readVersions(service, result -> {
                if (result.isLeft()) {
                    retry(result.getLeft().message());
                    return;
                }
                onRead(result.get());
            });
        }

        private void onRead(StoredVersions stored) {
            storeClock.onRead(stored.storeNowMs());
            StoreEra era = stored.revision().era();
            ListedVersions wanted = wanted(stored);
            if (stored.versions().equals(Optional.of(wanted))) {
                onListed(wanted);
                return;
            }
            store.writeVersions(service, wanted, stored.revision(), written -> {
                if (written.isLeft() || !written.get()) {
                    retry(written.isLeft() ? written.getLeft().message() : "changed meanwhile");
                    return;
                }
                log.event("versions-listed")
                        .with("service", service)
                        .with("versions", wanted.versions())
                        .with("era", era)
                        .write();
                onListed(wanted);
            });
        }

        private ListedVersions wanted(StoredVersions stored) {
            StoreEra era = stored.revision().era();
            Set<SoftwareVersion> versions = new HashSet<>(present);
            versions.addAll(listed);
            stored.versions().ifPresent(known -> versions.addAll(known.versions()));
            versions.removeIf(this::removable);
            boolean restored =
                    stored.versions().map(known -> !known.era().equals(era)).orElse(era.isAfter(StoreEra.NONE));
            long incompleteUntilStoreMs = restored
                    ? stored.storeNowMs() + TAKE_UP_LIMIT_MS
                    : stored.versions().map(ListedVersions::incompleteUntilMs).orElse(0L);
            return new ListedVersions(versions, era, incompleteUntilStoreMs);
        }

        private void onListed(ListedVersions now) {
            reading = false;
            retryMs = RETRY_MS;
            listed = new HashSet<>(now.versions());
            absentSinceMs.keySet().retainAll(listed);
            Sets.difference(listed, present).forEach(version -> absentSinceMs.putIfAbsent(version, clock.nowMs()));
            incompleteUntilMs = storeClock.toSteady(now.incompleteUntilMs());
            onListed.accept(service);
            check();
        }

        private void retry(String reason) {
            log.event("versions-not-listed")
                    .with("service", service)
                    .with("reason", reason)
                    .write();
            timers.after(retryMs + random.nextInt(retryMs), this::read);
            retryMs = Math.min(2 * retryMs, MAX_RETRY_MS);
        }
    }
}
