package org.hawthornglade.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.Permits;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.notice.AdvertisedLimit;

/** Reports advertised rate limits to the leader, requests permits from it and applies its updates, as an entry. */
public final class PermitClient {
    /** How long the end of a limit is still reported to the leader, in milliseconds. */
    private static final long REPORT_LIMIT_END_MS = 5_000;

    private final Fleet fleet;
    private final Map<InstanceId, AdvertisedLimit> relayed = new HashMap<>();
    private final Map<InstanceId, Long> limitedAtMs = new HashMap<>();
    private PeerClock leaderClock = new PeerClock();
    private long seenSerial;

    /** Creates a client for the endpoints of a fleet. */
    public PermitClient(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Returns the permit requests to send to the leader now. */
    public PermitRequests requests(long nowMs) {
        List<PermitRequest> requests = new ArrayList<>();
        for (Endpoint endpoint : fleet.all()) {
            if (endpoint.notices().rateLimit().perSecond().isPresent()) {
                limitedAtMs.put(endpoint.id(), nowMs);
            }
            if (nowMs - limitedAtMs.getOrDefault(endpoint.id(), nowMs - REPORT_LIMIT_END_MS) < REPORT_LIMIT_END_MS) {
                requests.add(request(endpoint));
            }
        }
        limitedAtMs.values().removeIf(atMs -> nowMs - atMs >= REPORT_LIMIT_END_MS);
        relayed.keySet().retainAll(limitedAtMs.keySet());
        return new PermitRequests(nowMs, seenSerial, requests);
    }

    private PermitRequest request(Endpoint endpoint) {
        AdvertisedLimit limit = endpoint.notices().rateLimit().current();
        boolean unsent = !limit.equals(relayed.get(endpoint.id()));
        Permits permits = endpoint.permits();
        return new PermitRequest(
                endpoint.id(),
                endpoint.record().bornMs(),
                unsent ? Optional.of(limit) : Optional.empty(),
                permits.waiting(),
                permits.waitingBriefly(),
                permits.mostUrgent());
    }

    /** Applies an update of the leader; waiting calls should be decided again afterwards. */
    public void onUpdate(LimitUpdate update, long nowMs) {
        leaderClock.onMessage(update.sentAtMs(), nowMs);
        seenSerial = update.serial();
        for (LimitStatus status : update.statuses()) {
            fleet.endpoint(status.instance())
                    .filter(known -> known.record().bornMs() == status.bornMs())
                    .ifPresent(endpoint -> apply(endpoint, status, update.requestedAtMs(), nowMs));
        }
    }

    private void apply(Endpoint endpoint, LimitStatus status, long requestedAtMs, long nowMs) {
        AdvertisedLimit limit = leaderClock.toLocal(status.limit());
        endpoint.notices().rateLimit().update(limit);
        if (endpoint.notices().rateLimit().current().equals(limit)) {
            relayed.put(endpoint.id(), limit);
        }
        endpoint.permits().onUpdate(status.permits(), requestedAtMs, status.othersWaiting(), nowMs);
    }

    /** Handles the loss or change of the leader; granted permits stay usable until they expire. */
    public void onLeaderLost() {
        leaderClock = new PeerClock();
        seenSerial = 0;
    }
}
