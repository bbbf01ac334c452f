package org.hawthornglade.gateway.resumption;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.resumption.TakeUpDecision;

/** Entries, a store and callers in virtual time: streams break off while versions change, and are taken up again. */
final class TakeUpSimulation {
    /** How the versions change around the trouble. */
    enum Release {
        /** Instances of a second version have just joined; those of the first serve on. */
        HALF_WAY,
        /** Instances of a second version have joined, and those of the first have just left. */
        FORMER_GONE,
        /** Instances of a second version have joined and have just left again. */
        WITHDRAWN,
        /** Two versions have served side by side from the start. */
        TWO_FOR_LONG
    }

    /** What breaks the streams off. */
    enum Trouble {
        ONE_KILLED,
        ALL_KILLED,
        TAKER_CUT_OFF,
        TAKER_STOOD_STILL,
        STORE_AWAY,
        STORE_RESTORED,
        STORE_RESTORED_ALL_KILLED
    }

    private static final int STEP_MS = 5;
    private static final int JOIN_AT_MS = 10_000;
    private static final int TROUBLE_AT_MS = 12_000;
    private static final int SECOND_TROUBLE_AT_MS = 14_500;
    private static final int END_MS = 22_000;
    /** A stream begins at each entry this often. */
    private static final int STREAM_INTERVAL_MS = 160;

    private static final int LISTING_CHECK_MS = 20;
    private static final int RESTART_MS = 600;
    private static final int FEED_DELAY_MS = 450;
    private static final int INSTANCES_OF_A_VERSION = 3;

    private record Event(long atMs, long number, Runnable action) {}

    private static final class Stream {
        private final RequestId first;
        private final SoftwareVersion version;
        private final long endsAtMs;
        private RequestId attempt;
        private SimulatedEntry entry;

        Stream(RequestId first, SoftwareVersion version, SimulatedEntry entry, long endsAtMs) {
            this.first = first;
            this.attempt = first;
            this.version = version;
            this.entry = entry;
            this.endsAtMs = endsAtMs;
        }
    }

    private final Random random;
    private final int entryCount;
    private final Release release;
    private final Trouble trouble;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private final Map<String, String> instances = new LinkedHashMap<>();
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<Stream> open = new ArrayList<>();
    private final InMemoryStreamStore store;
    private long nowMs;
    private long numbers;
    private int joined;
    private int takenUp;
    private int continued;
    private int begun;

    TakeUpSimulation(int entryCount, Release release, Trouble trouble, long seed) {
        this.random = new Random(seed);
        this.release = release;
        this.trouble = trouble;
        this.entryCount = entryCount;
        this.store = new InMemoryStreamStore(() -> nowMs);
        for (int i = 0; i < entryCount; i++) {
            entries.add(newEntry());
        }
    }

    private SimulatedEntry newEntry() {
        return new SimulatedEntry(store, entryCount, this::after, nowMs, random.nextLong());
    }

    private void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, numbers++, action));
    }

    /** Streams that hold events of two versions. */
    int joined() {
        return joined;
    }

    /** Streams that callers took up by the id of an attempt while instances of their version served. */
    int takenUp() {
        return takenUp;
    }

    /** Those of {@link #takenUp} that went on. */
    int continued() {
        return continued;
    }

    int begun() {
        return begun;
    }

    void run() {
        change("v1", true);
        if (release == Release.TWO_FOR_LONG) {
            change("v2", true);
        }
        plan();
        for (int at = 1_000; at < END_MS - 2_000; at += STREAM_INTERVAL_MS) {
            for (int entry = 0; entry < entries.size(); entry++) {
                events.add(new Event(at + random.nextInt(STREAM_INTERVAL_MS), numbers++, this::beginStream));
            }
        }
        while (nowMs < END_MS) {
            nowMs += STEP_MS;
            while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
                events.poll().action().run();
            }
            List.copyOf(entries).forEach(entry -> entry.advance(nowMs));
            endStreams();
        }
    }

    private void plan() {
        if (release != Release.TWO_FOR_LONG) {
            events.add(new Event(JOIN_AT_MS, numbers++, () -> change("v2", true)));
        }
        if (release == Release.FORMER_GONE) {
            events.add(new Event(TROUBLE_AT_MS - 100, numbers++, () -> change("v1", false)));
        }
        if (release == Release.WITHDRAWN) {
            events.add(new Event(TROUBLE_AT_MS - 100, numbers++, () -> change("v2", false)));
        }
        SimulatedEntry taker = entries.get(0);
        switch (trouble) {
            case TAKER_CUT_OFF -> events.add(new Event(JOIN_AT_MS - 500, numbers++, () -> taker.setCut(true)));
            case TAKER_STOOD_STILL -> events.add(new Event(JOIN_AT_MS - 500, numbers++, taker::freeze));
            case STORE_AWAY -> events.add(new Event(TROUBLE_AT_MS - 500, numbers++, () -> store.setAway(true)));
            case STORE_RESTORED -> {
                events.add(new Event(JOIN_AT_MS - 1_000, numbers++, store::copy));
                events.add(new Event(TROUBLE_AT_MS - random.nextInt(2_000), numbers++, store::restore));
            }
            case STORE_RESTORED_ALL_KILLED -> {
                // The copy may be from before the first list.
                events.add(new Event(random.nextBoolean() ? 0 : JOIN_AT_MS - 1_000, numbers++, store::copy));
                events.add(new Event(TROUBLE_AT_MS, numbers++, store::restore));
            }
            default -> {}
        }
        events.add(new Event(TROUBLE_AT_MS, numbers++, this::strike));
        events.add(new Event(SECOND_TROUBLE_AT_MS, numbers++, this::strike));
    }

    /** Adds or removes the instances of a version, which entries learn one after the other. */
    private void change(String version, boolean present) {
        for (int i = 0; i < INSTANCES_OF_A_VERSION; i++) {
            String id = version + "-" + i;
            if (present) {
                instances.put(id, version);
            } else {
                instances.remove(id);
            }
        }
        entries.forEach(entry -> after(random.nextInt(FEED_DELAY_MS), () -> entry.onInstances(Map.copyOf(instances))));
    }

    private void strike() {
        switch (trouble) {
            case ALL_KILLED, STORE_RESTORED_ALL_KILLED -> List.copyOf(entries).forEach(this::kill);
            case ONE_KILLED, STORE_AWAY, STORE_RESTORED -> kill(entries.get(random.nextInt(entries.size())));
            case TAKER_CUT_OFF, TAKER_STOOD_STILL -> breakHalf();
        }
    }

    private void kill(SimulatedEntry entry) {
        entry.kill();
        entries.remove(entry);
        List<Stream> broken =
                open.stream().filter(stream -> stream.entry == entry).toList();
        broken.forEach(this::breakOff);
        after(RESTART_MS, () -> {
            SimulatedEntry restarted = newEntry();
            entries.add(restarted);
            after(random.nextInt(FEED_DELAY_MS), () -> restarted.onInstances(Map.copyOf(instances)));
        });
    }

    /** Breaks off half of the streams at the other entries; all of them are taken up at the first one. */
    private void breakHalf() {
        SimulatedEntry taker = entries.get(0);
        List<Stream> broken = open.stream()
                .filter(stream -> stream.entry != taker && random.nextBoolean())
                .toList();
        taker.thaw();
        broken.forEach(stream -> {
            open.remove(stream);
            if (trouble == Trouble.TAKER_STOOD_STILL) {
                takeUp(stream, taker);
            } else {
                after(50 + random.nextInt(500), () -> takeUp(stream, taker));
            }
        });
    }

    private void breakOff(Stream stream) {
        open.remove(stream);
        after(RESTART_MS + 200 + random.nextInt(1_500), () -> {
            List<SimulatedEntry> serving =
                    entries.stream().filter(SimulatedEntry::serving).toList();
            if (!serving.isEmpty()) {
                takeUp(stream, serving.get(random.nextInt(serving.size())));
            }
        });
    }

    private void beginStream() {
        List<SimulatedEntry> serving =
                entries.stream().filter(SimulatedEntry::serving).toList();
        if (serving.isEmpty()) {
            return;
        }
        SimulatedEntry entry = serving.get(random.nextInt(serving.size()));
        List<Endpoint> targets = List.copyOf(entry.open()).stream()
                .filter(endpoint -> instances.containsKey(endpoint.id().value()))
                .sorted(Comparator.comparing(Endpoint::id))
                .toList();
        if (targets.isEmpty()) {
            return;
        }
        SoftwareVersion version =
                targets.get(random.nextInt(targets.size())).record().softwareVersion();
        Stream stream = new Stream(newId(), version, entry, nowMs + 2_000 + random.nextInt(6_000));
        begun++;
        entry.begin(stream.first, version, stream.endsAtMs + 5_000);
        open.add(stream);
    }

    private RequestId newId() {
        return RequestId.of("r-" + numbers++);
    }

    private void takeUp(Stream stream, SimulatedEntry entry) {
        if (!entry.alive()) {
            return;
        }
        int kind = random.nextInt(10);
        Optional<RequestId> named =
                switch (kind) {
                    case 0 -> Optional.empty();
                    case 1 -> Optional.of(RequestId.of("unknown"));
                    case 2, 3 -> Optional.of(stream.attempt);
                    default -> Optional.of(stream.first);
                };
        RequestId attempt = newId();
        boolean counts = kind > 1 && instances.containsValue(stream.version.value()) && !entry.cut();
        entry.takeUp(attempt, named, decision -> onDecision(stream, entry, attempt, counts, decision));
    }

    private void onDecision(
            Stream stream, SimulatedEntry entry, RequestId attempt, boolean counts, TakeUpDecision decision) {
        if (counts) {
            takenUp++;
        }
        if (!entry.alive() || !(decision instanceof TakeUpDecision.GoOn goOn)) {
            return;
        }
        SoftwareVersion version = goOn.origin().version();
        if (entry.knows(version)) {
            send(stream, entry, attempt, counts, version);
        }
    }

    /** Sends a stream that may go on, once its version is listed here; the dispatcher lets it wait until then. */
    private void send(Stream stream, SimulatedEntry entry, RequestId attempt, boolean counts, SoftwareVersion version) {
        boolean listed = entry.open().stream()
                .anyMatch(endpoint -> version.compatibleWith(endpoint.record().softwareVersion()));
        if (!listed) {
            if (entry.alive() && nowMs < stream.endsAtMs) {
                after(LISTING_CHECK_MS, () -> send(stream, entry, attempt, counts, version));
            }
            return;
        }
        if (!version.equals(stream.version)) {
            joined++;
            return;
        }
        if (counts) {
            continued++;
        }
        stream.attempt = attempt;
        stream.entry = entry;
        entry.begin(attempt, version, stream.endsAtMs + 5_000);
        open.add(stream);
    }

    private void endStreams() {
        for (Stream stream : List.copyOf(open)) {
            if (stream.endsAtMs <= nowMs && stream.entry.serving()) {
                open.remove(stream);
                stream.entry.complete(stream.attempt);
            }
        }
    }
}
