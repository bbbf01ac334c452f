package org.hawthornglade.core.lease;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import org.hawthornglade.core.store.StoreRevision;

/** An entry of {@link SimulatedLeases}: one process after the other, each with a {@link Leadership}. */
final class SimulatedEntry {
    private static final long CHECK_INTERVAL_MS = 50;
    private static final long RECONNECT_INTERVAL_MS = 200;
    private static final long SILENCE_TIMEOUT_MS = 1_200;
    private static final long STORE_TIMEOUT_MS = 600;

    final String name;
    final String address;
    private final SimulatedLeases world;
    private final long checkPhaseMs;
    private final Deque<Runnable> received = new ArrayDeque<>();
    private Leadership leadership;
    private int lives;
    private boolean running;
    private long clockOffsetMs;
    private boolean connecting;
    private long connectedAtMs = Long.MIN_VALUE / 2;
    private Optional<SimulatedEntry> connectedTo = Optional.empty();
    private int connectedLife;
    private boolean heard;
    private long heardAtMs;
    private long frozenUntilMs;
    OptionalLong thawedAtMs = OptionalLong.empty();
    long refusingUntilMs;
    long storeLostUntilMs;

    SimulatedEntry(SimulatedLeases world, String name, String address, long checkPhaseMs) {
        this.world = world;
        this.name = name;
        this.address = address;
        this.checkPhaseMs = checkPhaseMs;
        start();
    }

    void start() {
        lives++;
        running = true;
        received.clear();
        connecting = false;
        connectedTo = Optional.empty();
        frozenUntilMs = 0;
        leadership =
                new Leadership(name, address, name + "-" + lives, SimulatedLeases.LEASE_MS, world.enginesCheckTokens);
    }

    void kill() {
        running = false;
    }

    boolean running() {
        return running;
    }

    /** Releases the lease, as at a planned stop. */
    void stop() {
        leadership.resign().ifPresent(write -> send(() -> world.store.write(write)));
    }

    /** Freezes the process; its steady clock runs on, unless the machine is suspended. */
    void freeze(long forMs, boolean suspended) {
        frozenUntilMs = world.nowMs + forMs;
        thawedAtMs = OptionalLong.of(frozenUntilMs);
        clockOffsetMs -= suspended ? forMs : 0;
    }

    boolean frozen() {
        return world.nowMs < frozenUntilMs;
    }

    boolean leading() {
        return running && leadership.leading();
    }

    boolean mayOrder() {
        return running && !frozen() && leadership.mayOrder(nowMs(), world.nowMs);
    }

    FencingToken token() {
        return leadership.token();
    }

    /** Handles the refusal of an order by an engine that has seen a newer token. */
    void onOrderRefused() {
        leadership.stepDown();
    }

    private long nowMs() {
        return world.nowMs + clockOffsetMs;
    }

    /** Delivers something to the process that runs now, when it is not frozen; nothing to the next one. */
    private Runnable toThisProcess(Runnable delivery) {
        return toProcess(lives, delivery);
    }

    private Runnable toProcess(int life, Runnable delivery) {
        return () -> {
            if (running && life == lives) {
                received.add(delivery);
            }
        };
    }

    /** Handles what was received, and checks the lease at its interval. */
    void run() {
        if (!running || frozen()) {
            return;
        }
        while (!received.isEmpty()) {
            received.remove().run();
        }
        if (world.nowMs % CHECK_INTERVAL_MS != checkPhaseMs) {
            return;
        }
        leadership.check(nowMs(), world.nowMs);
        if (leadership.shouldProbeEngine(nowMs())) {
            leadership.onEngineProbed(nowMs());
            leadership.onEngineAnswered(nowMs());
        }
        if (leadership.shouldRead(leaderAlive(), nowMs())) {
            leadership.onReadSent(nowMs());
            read();
        } else {
            leadership.renewal(nowMs()).ifPresent(this::write);
        }
        maintainConnection();
        sendToFollowers();
    }

    private boolean leaderAlive() {
        return connectedTo.isPresent() && heard && nowMs() - heardAtMs <= SILENCE_TIMEOUT_MS;
    }

    /** Sends a request to the store, unless it turns this entry away; it may arrive after the timeout. */
    private void send(Runnable arrive) {
        if (world.nowMs >= storeLostUntilMs) {
            world.after(world.storeDelayMs(), arrive);
        }
    }

    private void read() {
        long sentAtMs = world.nowMs;
        int life = lives;
        boolean[] done = {false};
        send(() -> {
            StoredLease stored = world.store.read();
            respond(life, sentAtMs, () -> once(done, () -> onRead(stored)));
        });
        world.after(STORE_TIMEOUT_MS, toThisProcess(() -> once(done, leadership::onReadFailed)));
    }

    private void onRead(StoredLease stored) {
        if (leaderAlive()) {
            leadership.onReadWhileFollowing(stored, nowMs());
        } else {
            leadership.onRead(stored, nowMs()).map(LeaseClaim::write).ifPresent(this::write);
        }
    }

    private void write(LeaseWrite write) {
        long sentAtMs = nowMs();
        long wallSentMs = world.nowMs;
        int life = lives;
        boolean[] done = {false};
        send(() -> {
            Optional<StoreRevision> written = world.store.write(write);
            StoredLease stored = world.store.read();
            Runnable handler = () -> {
                if (written.isPresent()) {
                    leadership.onWritten(write, written.get(), sentAtMs, wallSentMs);
                } else {
                    leadership.onConflict(stored, write, nowMs());
                }
            };
            respond(life, wallSentMs, () -> once(done, handler));
        });
        world.after(
                STORE_TIMEOUT_MS,
                toThisProcess(() -> once(done, () -> leadership.onWriteOutcomeUnknown(sentAtMs, nowMs()))));
    }

    private void respond(int life, long sentAtMs, Runnable handler) {
        long delayMs = world.storeDelayMs();
        boolean inTime = world.nowMs + delayMs < sentAtMs + STORE_TIMEOUT_MS;
        if (inTime && !world.responseLost()) {
            world.after(delayMs, toProcess(life, handler));
        }
    }

    private static void once(boolean[] done, Runnable handler) {
        if (!done[0]) {
            done[0] = true;
            handler.run();
        }
    }

    private Optional<SimulatedEntry> target() {
        return leadership
                .seen()
                .row()
                .filter(row -> !leadership.leading()
                        && !row.released()
                        && !row.holder().equals(name))
                .map(row -> world.entryAt(row.address()));
    }

    private void maintainConnection() {
        boolean lost = connectedTo.isPresent()
                && (!connectedTo.get().running
                        || connectedTo.get().lives != connectedLife
                        || nowMs() - heardAtMs > SILENCE_TIMEOUT_MS
                        || !connectedTo.equals(target()));
        if (lost) {
            connectedTo = Optional.empty();
        }
        boolean due = !connecting && nowMs() - connectedAtMs >= RECONNECT_INTERVAL_MS;
        if (connectedTo.isEmpty() && due) {
            target().ifPresent(this::connect);
        }
    }

    private void connect(SimulatedEntry target) {
        connecting = true;
        connectedAtMs = nowMs();
        long startedAtMs = nowMs();
        int life = lives;
        world.after(world.linkDelayMs(), () -> {
            boolean refused = !target.running || world.nowMs < target.refusingUntilMs;
            int targetLife = target.lives;
            toProcess(life, () -> onConnected(target, targetLife, startedAtMs, refused))
                    .run();
        });
    }

    private void onConnected(SimulatedEntry target, int targetLife, long startedAtMs, boolean refused) {
        connecting = false;
        leadership.onConnectionAttempt(new ConnectionAttempt(target.address, startedAtMs, refused));
        if (!refused) {
            connectedTo = Optional.of(target);
            connectedLife = targetLife;
            heard = false;
            heardAtMs = nowMs();
        }
    }

    private void sendToFollowers() {
        if (!leading()) {
            return;
        }
        StoreRevision revision = leadership.seen().revision();
        for (SimulatedEntry follower : world.entries) {
            world.after(world.linkDelayMs(), follower.toThisProcess(() -> follower.onLeaderMessage(this, revision)));
        }
    }

    private void onLeaderMessage(SimulatedEntry from, StoreRevision revision) {
        if (connectedTo.equals(Optional.of(from))) {
            heard = true;
            heardAtMs = nowMs();
            leadership.onLeaderMessage(revision, nowMs());
        }
    }
}
