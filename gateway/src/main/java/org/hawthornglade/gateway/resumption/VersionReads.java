package org.hawthornglade.gateway.resumption;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.gateway.port.StreamStore;
import org.hawthornglade.gateway.port.StreamStore.StoredVersions;

/**
 * Reads the versions of a service once for all that asked before the read was sent.
 *
 * <p>Who asks while a read is in flight gets the next one: what a read returns may be older than the question.
 */
final class VersionReads {
    private final StreamStore store;
    private final Map<ServiceName, List<Consumer<Either<Failure, StoredVersions>>>> waiting = new HashMap<>();
    private final Set<ServiceName> inFlight = new HashSet<>();

    VersionReads(StreamStore store) {
        this.store = store;
    }

    /** Reads the list of a service; the read is sent after this call. */
    void read(ServiceName service, Consumer<Either<Failure, StoredVersions>> done) {
        waiting.computeIfAbsent(service, key -> new ArrayList<>()).add(done);
        if (inFlight.add(service)) {
            send(service);
        }
    }

    private void send(ServiceName service) {
        List<Consumer<Either<Failure, StoredVersions>>> askers = waiting.remove(service);
        store.readVersions(service, result -> {
            if (waiting.containsKey(service)) {
                send(service);
            } else {
                inFlight.remove(service);
            }
            askers.forEach(asker -> asker.accept(result));
        });
    }
}
