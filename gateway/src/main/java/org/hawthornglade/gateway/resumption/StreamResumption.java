package org.hawthornglade.gateway.resumption;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.hawthornglade.core.dispatch.StreamGate;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.resumption.StreamOrigin;
import org.hawthornglade.core.resumption.StreamOrigins;
import org.hawthornglade.core.resumption.TakeUp;
import org.hawthornglade.core.resumption.TakeUpDecision;
import org.hawthornglade.core.resumption.TakeUpDecision.Source;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.log.LogLine;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.port.StreamStore;
import org.hawthornglade.gateway.port.StreamStore.StoredVersions;

/**
 * Decides where a stream that a caller takes up may go on.
 *
 * <p>What this entry happens to know of versions proves nothing, since it may have been out of touch. A stream goes on
 * where it is known to have begun, or where a read of the store made after the call arrived shows that only one version
 * can have begun it.
 */
public final class StreamResumption {
    /** Interval at which versions that have gone, and old notes, are looked for. */
    private static final long CHECK_INTERVAL_MS = 1_000;
    /** An unknown origin is looked up again after this time, in which its entry may write it down. */
    static final long SECOND_LOOK_MS = 3 * OriginNotes.MIN_INTERVAL_MS;
    /** Retry-After when the store cannot be asked. */
    static final long UNREADABLE_RETRY_MS = 500;

    private final Fleet fleet;
    private final StreamStore store;
    private final Timers timers;
    private final Clock clock;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Runnable onListed;
    private final StoreClock storeClock;
    private final VersionListing listing;
    private final VersionReads versionReads;
    private final OriginNotes notes;
    private final StreamOrigins origins = new StreamOrigins();
    private Set<ServiceName> services = Set.of();
    private boolean listReachable;

    /**
     * Creates the decisions of one entry.
     *
     * @param random spreads the calls to the store
     * @param onListed runs when streams may be sent to further versions
     */
    public StreamResumption(
            Fleet fleet,
            StreamStore store,
            Timers timers,
            Clock clock,
            EventLog log,
            GatewayMetrics metrics,
            Random random,
            Runnable onListed) {
        this.fleet = fleet;
        this.store = store;
        this.timers = timers;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.onListed = onListed;
        this.storeClock = new StoreClock(clock);
        this.listing = new VersionListing(store, storeClock, timers, clock, log, random, this::onListed);
        this.versionReads = new VersionReads(store);
        this.notes = new OriginNotes(store, storeClock, timers, clock, log, metrics);
    }

    /** Starts the regular checks. */
    public void start() {
        timers.every(CHECK_INTERVAL_MS, this::check);
    }

    private void check() {
        fleetChanged();
        origins.expire(clock.nowMs());
        notes.expire();
    }

    /** Returns what keeps streams from versions that are not listed yet. */
    public StreamGate gate() {
        return listing;
    }

    /**
     * Handles the services of the configuration.
     *
     * <p>All of them are listed, so that a route can be moved to another service while the store is away.
     */
    public void onServices(Set<ServiceName> configured) {
        services = Set.copyOf(configured);
        fleetChanged();
    }

    /** Handles a change of the instances. */
    public void fleetChanged() {
        Map<ServiceName, Set<SoftwareVersion>> present = new HashMap<>();
        services.forEach(service -> present.put(service, new HashSet<>()));
        for (Endpoint endpoint : fleet.all()) {
            Set<SoftwareVersion> versions = present.get(endpoint.record().service());
            if (versions != null) {
                versions.add(endpoint.record().softwareVersion());
            }
        }
        listing.onPresent(present, listReachable);
    }

    /** Handles that the list of instances can be read again: what other entries have listed meanwhile is unknown. */
    public void onListReachable() {
        listReachable = true;
        listing.readAgain();
    }

    /** Handles that the list of instances cannot be read. */
    public void onListUnreachable() {
        listReachable = false;
    }

    /** Handles that the store was restored from an older copy, which may lack versions and notes. */
    public void onStoreRestored() {
        notes.onStoreRestored();
        listing.readAgain();
    }

    /** Handles the number of entries, which share the store. */
    public void onEntryCount(int entries) {
        notes.setEntries(entries);
    }

    /** Handles whether this entry leads; the leader removes the notes of entries that have died. */
    public void onLeading(boolean leading) {
        notes.setSweeping(leading);
    }

    private void onListed(ServiceName service) {
        if (listing.severalVersions(service)) {
            origins.ofService(service).forEach(notes::add);
        }
        onListed.run();
    }

    /**
     * Remembers where a stream began.
     *
     * @param callerDeadlineAtMs when its caller's time ends, on the steady clock
     */
    public void onBegun(RequestId stream, StreamOrigin origin, long callerDeadlineAtMs) {
        long untilMs = callerDeadlineAtMs + VersionListing.TAKE_UP_LIMIT_MS / 2;
        StreamOrigins.Entry entry = origins.onBegun(stream, origin, untilMs);
        if (listing.severalVersions(origin.service())) {
            notes.add(entry);
        }
    }

    /** Forgets a stream that has reached its caller whole. */
    public void onCompleted(RequestId stream) {
        origins.forget(stream);
        notes.remove(stream);
    }

    /**
     * Decides whether a stream that a caller takes up may go on.
     *
     * @param stream the caller's new attempt, for the log
     * @param service the service to which the call would be sent
     * @param done receives the decision, exactly once
     */
    public void decide(RequestId stream, TakeUp takeUp, ServiceName service, Consumer<TakeUpDecision> done) {
        Consumer<TakeUpDecision> logged = decision -> {
            write(stream, takeUp, decision);
            done.accept(decision);
        };
        Optional<StreamOrigin> own = takeUp.origin().flatMap(origins::find);
        if (own.isPresent()) {
            logged.accept(new TakeUpDecision.GoOn(own.get(), Source.OWN));
            return;
        }
        look(new Question(takeUp, service, logged), true);
    }

    /** A take-up that is not decided yet. */
    private record Question(TakeUp takeUp, ServiceName service, Consumer<TakeUpDecision> done) {}

    /** Asks the store, and once more a little later, since what is not there yet may be on its way. */
    private void look(Question question, boolean first) {
        versionReads.read(question.service(), result -> {
            if (result.isLeft()) {
                question.done().accept(unreadable());
                return;
            }
            onVersions(result.get(), question, first);
        });
    }

    private void onVersions(StoredVersions stored, Question question, boolean first) {
        storeClock.onRead(stored.storeNowMs());
        Optional<SoftwareVersion> only = stored.versions()
                .flatMap(listed -> listed.only(stored.revision().era(), stored.storeNowMs()));
        Optional<RequestId> origin = question.takeUp().origin();
        if (only.isPresent()) {
            StreamOrigin found = new StreamOrigin(question.service(), only.get());
            question.done().accept(new TakeUpDecision.GoOn(found, Source.ONLY_VERSION));
        } else if (origin.isPresent()) {
            lookUp(origin.get(), question, first);
        } else if (first && stored.versions().isEmpty()) {
            lookAgain(question);
        } else {
            question.done().accept(unknown());
        }
    }

    private void lookUp(RequestId origin, Question question, boolean first) {
        store.readOrigin(origin, result -> {
            if (result.isLeft()) {
                question.done().accept(unreadable());
            } else if (result.get().isPresent()) {
                question.done().accept(new TakeUpDecision.GoOn(result.get().get(), Source.NOTE));
            } else if (first) {
                lookAgain(question);
            } else {
                question.done().accept(unknown());
            }
        });
    }

    private void lookAgain(Question question) {
        timers.after(SECOND_LOOK_MS, () -> look(question, false));
    }

    private static TakeUpDecision unreadable() {
        return new TakeUpDecision.Refuse(ResultCode.STREAM_ORIGIN_UNREADABLE, UNREADABLE_RETRY_MS);
    }

    private static TakeUpDecision unknown() {
        return new TakeUpDecision.Refuse(ResultCode.STREAM_ORIGIN_UNKNOWN, 0);
    }

    private void write(RequestId stream, TakeUp takeUp, TakeUpDecision decision) {
        LogLine line = log.event("take-up")
                .with("request", stream)
                .with("origin", takeUp.origin().map(RequestId::value).orElse("none"));
        if (decision instanceof TakeUpDecision.GoOn goOn) {
            metrics.count("take_ups_known");
            line.with("service", goOn.origin().service())
                    .with("version", goOn.origin().version())
                    .with("source", goOn.source())
                    .write();
        } else if (decision instanceof TakeUpDecision.Refuse refusal) {
            metrics.count("take_ups_refused");
            line.with("code", refusal.code().number()).write();
        }
    }
}
