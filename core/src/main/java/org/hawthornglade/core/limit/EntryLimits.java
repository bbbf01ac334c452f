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
import org.hawthornglade.core.notice.LimitWord;

/** An entry's side of limits: tells the leader what it was told and wants, and takes the leader's news. */
public final class EntryLimits {
    /** The end of a limit is told to the leader for this time, in milliseconds. */
    private static final long TELL_END_MS = 5_000;

    private final Fleet fleet;
    private final Map<InstanceId, LimitWord> relayed = new HashMap<>();
    private final Map<InstanceId, Long> limitedAtMs = new HashMap<>();
    private PeerTime leader = new PeerTime();
    private long seenSerial;

    /** Creates an entry's side. */
    public EntryLimits(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Returns what the leader should know now. */
    public EntryAsks asks(long nowMs) {
        List<PermitAsk> asks = new ArrayList<>();
        for (Endpoint endpoint : fleet.all()) {
            if (endpoint.notices().limit().perSecond().isPresent()) {
                limitedAtMs.put(endpoint.id(), nowMs);
            }
            if (nowMs - limitedAtMs.getOrDefault(endpoint.id(), nowMs - TELL_END_MS) < TELL_END_MS) {
                asks.add(ask(endpoint));
            }
        }
        limitedAtMs.values().removeIf(atMs -> nowMs - atMs >= TELL_END_MS);
        relayed.keySet().retainAll(limitedAtMs.keySet());
        return new EntryAsks(nowMs, seenSerial, asks);
    }

    private PermitAsk ask(Endpoint endpoint) {
        LimitWord word = endpoint.notices().limit().word();
        boolean own = !word.equals(relayed.get(endpoint.id()));
        Permits permits = endpoint.permits();
        return new PermitAsk(
                endpoint.id(),
                endpoint.listed().bornMs(),
                own ? Optional.of(word) : Optional.empty(),
                permits.waiting(),
                permits.waitingBriefly(),
                permits.mostUrgent());
    }

    /** Takes what the leader tells; waiting calls should be decided anew afterwards. */
    public void onNews(LimitNews news, long nowMs) {
        leader.onMessage(news.sentAtMs(), nowMs);
        seenSerial = news.serial();
        for (LimitStatus status : news.statuses()) {
            fleet.endpoint(status.instance())
                    .filter(known -> known.listed().bornMs() == status.bornMs())
                    .ifPresent(endpoint -> take(endpoint, status, news.askedAtMs(), nowMs));
        }
    }

    private void take(Endpoint endpoint, LimitStatus status, long askedAtMs, long nowMs) {
        LimitWord word = leader.here(status.word());
        endpoint.notices().limit().take(word);
        if (endpoint.notices().limit().word().equals(word)) {
            relayed.put(endpoint.id(), word);
        }
        endpoint.permits().onNews(status.permits(), askedAtMs, status.othersWaiting(), nowMs);
    }

    /** Takes note that another leader, or none, is there; what was dealt may be used until it ends. */
    public void onLeaderLost() {
        leader = new PeerTime();
        seenSerial = 0;
    }
}
