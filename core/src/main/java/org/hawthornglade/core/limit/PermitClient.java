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

/** An entry's side of limits: tells the leader what it was told and wants, and takes the leader's news. */
public final class PermitClient {
    /** The end of a limit is told to the leader for this time, in milliseconds. */
    private static final long REPORT_LIMIT_END_MS = 5_000;

    private final Fleet fleet;
    private final Map<InstanceId, AdvertisedLimit> relayed = new HashMap<>();
    private final Map<InstanceId, Long> limitedAtMs = new HashMap<>();
    private PeerClock leaderClock = new PeerClock();
    private long seenSerial;

    /** Creates an entry's side. */
    public PermitClient(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Returns what the leader should know now. */
    public PermitRequests requests(long nowMs) {
        List<PermitRequest> asks = new ArrayList<>();
        for (Endpoint endpoint : fleet.all()) {
            if (endpoint.notices().rateLimit().perSecond().isPresent()) {
                limitedAtMs.put(endpoint.id(), nowMs);
            }
            if (nowMs - limitedAtMs.getOrDefault(endpoint.id(), nowMs - REPORT_LIMIT_END_MS) < REPORT_LIMIT_END_MS) {
                asks.add(request(endpoint));
            }
        }
        limitedAtMs.values().removeIf(atMs -> nowMs - atMs >= REPORT_LIMIT_END_MS);
        relayed.keySet().retainAll(limitedAtMs.keySet());
        return new PermitRequests(nowMs, seenSerial, asks);
    }

    private PermitRequest request(Endpoint endpoint) {
        AdvertisedLimit word = endpoint.notices().rateLimit().current();
        boolean own = !word.equals(relayed.get(endpoint.id()));
        Permits permits = endpoint.permits();
        return new PermitRequest(
                endpoint.id(),
                endpoint.record().bornMs(),
                own ? Optional.of(word) : Optional.empty(),
                permits.waiting(),
                permits.waitingBriefly(),
                permits.mostUrgent());
    }

    /** Takes what the leader tells; waiting calls should be decided anew afterwards. */
    public void onUpdate(LimitUpdate news, long nowMs) {
        leaderClock.onMessage(news.sentAtMs(), nowMs);
        seenSerial = news.serial();
        for (LimitStatus status : news.statuses()) {
            fleet.endpoint(status.instance())
                    .filter(known -> known.record().bornMs() == status.bornMs())
                    .ifPresent(endpoint -> apply(endpoint, status, news.requestedAtMs(), nowMs));
        }
    }

    private void apply(Endpoint endpoint, LimitStatus status, long askedAtMs, long nowMs) {
        AdvertisedLimit word = leaderClock.toLocal(status.limit());
        endpoint.notices().rateLimit().update(word);
        if (endpoint.notices().rateLimit().current().equals(word)) {
            relayed.put(endpoint.id(), word);
        }
        endpoint.permits().onUpdate(status.permits(), askedAtMs, status.othersWaiting(), nowMs);
    }

    /** Takes note that another leader, or none, is there; what was dealt may be used until it ends. */
    public void onLeaderLost() {
        leaderClock = new PeerClock();
        seenSerial = 0;
    }
}
