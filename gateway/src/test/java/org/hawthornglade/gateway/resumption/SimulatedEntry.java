package org.hawthornglade.gateway.resumption;

import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.resumption.ListedVersions;
import org.hawthornglade.core.resumption.StreamOrigin;
import org.hawthornglade.core.resumption.TakeUp;
import org.hawthornglade.core.resumption.TakeUpDecision;
import org.hawthornglade.core.store.StoreRevision;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.hawthornglade.gateway.port.OriginBatch;
import org.hawthornglade.gateway.port.StreamStore;

/** An entry in virtual time: real decisions, with a view of instances and store that can be cut off or late. */
final class SimulatedEntry {
    static final ServiceName SERVICE = ServiceName.of("drafts");

    private static final EventLog LOG =
            new EventLog(() -> 0, new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8));
    private static final int ONE_WAY_MS = 5;
    private static final int TIMEOUT_MS = 600;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ManualClock clock = new ManualClock(0);
    private final Fleet fleet = new Fleet();
    private final InMemoryStreamStore store;
    /** Runs an action of the world after a delay in milliseconds. */
    private final BiConsumer<Long, Runnable> world;

    private final StreamResumption resumption;
    private long knownEra;
    private boolean cut;
    private boolean frozen;
    private boolean alive = true;

    SimulatedEntry(InMemoryStreamStore store, int entries, BiConsumer<Long, Runnable> world, long nowMs, long seed) {
        this.store = store;
        this.world = world;
        channel.freezeTime();
        clock.advance(nowMs);
        Timers timers = new Timers(channel.eventLoop(), LOG);
        resumption = new StreamResumption(
                fleet, new RemoteStore(), timers, clock, LOG, new GatewayMetrics(), new Random(seed), () -> {});
        resumption.start();
        resumption.onEntryCount(entries);
        resumption.onServices(Set.of(SERVICE));
    }

    /** Lets the entry run until a time, unless it stands still. */
    void advance(long nowMs) {
        if (!alive || frozen) {
            return;
        }
        long byMs = nowMs - clock.nowMs();
        clock.advance(byMs);
        channel.advanceTimeBy(byMs, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    void kill() {
        alive = false;
    }

    boolean alive() {
        return alive;
    }

    boolean serving() {
        return alive && !frozen;
    }

    void setCut(boolean on) {
        cut = on;
        if (!on) {
            resumption.onListReachable();
        } else {
            resumption.onListUnreachable();
        }
    }

    boolean cut() {
        return cut;
    }

    void freeze() {
        frozen = true;
    }

    void thaw() {
        frozen = false;
    }

    /** Delivers the list of instances, unless the entry is out of reach; a frozen one receives it when it goes on. */
    void onInstances(Map<String, String> versionsById) {
        if (cut || !alive) {
            return;
        }
        channel.eventLoop().execute(() -> {
            Set<InstanceRecord> records = new HashSet<>();
            versionsById.forEach((id, version) -> records.add(record(id, version)));
            fleet.onSnapshot(records, clock.nowMs());
            fleet.expire(clock.nowMs());
            resumption.fleetChanged();
        });
    }

    private static InstanceRecord record(String id, String version) {
        return new InstanceRecord(
                InstanceId.of(id),
                SERVICE,
                SoftwareVersion.of(version),
                new InstanceAddress("10.0.0.1", 8_000),
                FailureDomain.of("zone-a"),
                64,
                false,
                OptionalLong.empty(),
                1,
                1,
                Map.of(),
                Set.of(),
                Set.of());
    }

    /** Returns the instances to which this entry would send a stream. */
    Collection<Endpoint> open() {
        return fleet.usable(SERVICE).stream()
                .filter(endpoint ->
                        resumption.gate().listed(SERVICE, endpoint.record().softwareVersion()))
                .toList();
    }

    /** Returns whether this entry knows an instance with a version. */
    boolean knows(SoftwareVersion version) {
        return fleet.usable(SERVICE).stream()
                .anyMatch(endpoint -> version.compatibleWith(endpoint.record().softwareVersion()));
    }

    void begin(RequestId stream, SoftwareVersion version, long deadlineAtMs) {
        resumption.onBegun(stream, new StreamOrigin(SERVICE, version), deadlineAtMs);
    }

    void complete(RequestId stream) {
        resumption.onCompleted(stream);
    }

    /** Takes a stream up; an entry that stands still reads it first when it goes on. */
    void takeUp(RequestId stream, Optional<RequestId> origin, Consumer<TakeUpDecision> done) {
        resumption.decide(stream, new TakeUp(origin), SERVICE, done);
    }

    /** The store as this entry reaches it. */
    private final class RemoteStore implements StreamStore {
        private <T> void call(Consumer<Consumer<Either<Failure, T>>> action, Consumer<Either<Failure, T>> done) {
            world.accept((long) ONE_WAY_MS, () -> {
                if (cut) {
                    fail(done);
                    return;
                }
                long era = store.era();
                action.accept(result -> world.accept((long) ONE_WAY_MS, () -> deliver(era, result, done)));
            });
        }

        private <T> void fail(Consumer<Either<Failure, T>> done) {
            world.accept(
                    (long) TIMEOUT_MS,
                    () -> channel.eventLoop()
                            .execute(() -> done.accept(
                                    Either.left(Failure.of(ResultCode.PLATFORM_UNAVAILABLE, "out of reach")))));
        }

        private <T> void deliver(long era, Either<Failure, T> result, Consumer<Either<Failure, T>> done) {
            if (cut) {
                fail(done);
                return;
            }
            channel.eventLoop().execute(() -> {
                if (era > knownEra) {
                    knownEra = era;
                    resumption.onStoreRestored();
                }
                boolean outdated = era < knownEra;
                done.accept(outdated ? Either.left(Failure.of(ResultCode.PLATFORM_UNAVAILABLE, "outdated")) : result);
            });
        }

        @Override
        public void readVersions(ServiceName service, Consumer<Either<Failure, StoredVersions>> done) {
            call(reply -> store.readVersions(service, reply), done);
        }

        @Override
        public void writeVersions(
                ServiceName service,
                ListedVersions versions,
                StoreRevision expected,
                Consumer<Either<Failure, Boolean>> done) {
            call(reply -> store.writeVersions(service, versions, expected, reply), done);
        }

        @Override
        public void readOrigin(RequestId stream, Consumer<Either<Failure, Optional<StreamOrigin>>> done) {
            call(reply -> store.readOrigin(stream, reply), done);
        }

        @Override
        public void writeOrigins(OriginBatch batch, Consumer<Either<Failure, Boolean>> done) {
            call(reply -> store.writeOrigins(batch, reply), done);
        }

        @Override
        public void readExpiries(Consumer<Either<Failure, Expiries>> done) {
            call(store::readExpiries, done);
        }
    }
}
