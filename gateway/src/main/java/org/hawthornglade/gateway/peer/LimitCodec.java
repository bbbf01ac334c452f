package org.hawthornglade.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.limit.LimitStatus;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.limit.PermitRequest;
import org.hawthornglade.core.limit.PermitRequests;
import org.hawthornglade.core.notice.AdvertisedLimit;
import org.hawthornglade.protocol.gen.peer.DemandReport;
import org.hawthornglade.protocol.gen.peer.LimitNews;
import org.hawthornglade.protocol.gen.peer.LimitWord;
import org.hawthornglade.protocol.gen.peer.PermitAsk;

/** Converts the messages on shared rate limits between entries and their leader to Thrift structures and back. */
final class LimitCodec {
    private LimitCodec() {}

    static void encode(PermitRequests requests, DemandReport into) {
        into.setSentAtMs(requests.sentAtMs());
        into.setSeenSerial(requests.seenSerial());
        into.setAsks(new ArrayList<>());
        requests.requests().forEach(request -> into.addToAsks(encode(request)));
    }

    private static PermitAsk encode(PermitRequest request) {
        PermitAsk coded = new PermitAsk();
        coded.setInstance(request.instance().value());
        coded.setBornMs(request.bornMs());
        request.limit().ifPresent(limit -> coded.setWord(encode(limit)));
        coded.setCalls(request.calls());
        coded.setBriefCalls(request.briefCalls());
        coded.setPriority(request.priority());
        return coded;
    }

    /** Decodes an entry's permit requests; entries of the previous version send none. */
    static PermitRequests permitRequests(DemandReport report) {
        if (!report.isSetAsks()) {
            return PermitRequests.NONE;
        }
        List<PermitRequest> requests = new ArrayList<>();
        for (PermitAsk coded : report.getAsks()) {
            Optional<AdvertisedLimit> limit =
                    Optional.ofNullable(coded.getWord()).map(LimitCodec::advertisedLimit);
            requests.add(new PermitRequest(
                    InstanceId.of(coded.getInstance()),
                    coded.getBornMs(),
                    limit,
                    coded.getCalls(),
                    coded.getBriefCalls(),
                    coded.getPriority()));
        }
        return new PermitRequests(report.getSentAtMs(), report.getSeenSerial(), requests);
    }

    static LimitNews encode(LimitUpdate update) {
        List<org.hawthornglade.protocol.gen.peer.LimitStatus> statuses = new ArrayList<>();
        for (LimitStatus status : update.statuses()) {
            statuses.add(new org.hawthornglade.protocol.gen.peer.LimitStatus(
                    status.instance().value(),
                    status.bornMs(),
                    encode(status.limit()),
                    status.permits(),
                    status.othersWaiting()));
        }
        return new LimitNews(update.serial(), update.sentAtMs(), update.requestedAtMs(), statuses);
    }

    static LimitUpdate limitUpdate(LimitNews coded) {
        List<LimitStatus> statuses = new ArrayList<>();
        for (org.hawthornglade.protocol.gen.peer.LimitStatus status : coded.getStatuses()) {
            statuses.add(new LimitStatus(
                    InstanceId.of(status.getInstance()),
                    status.getBornMs(),
                    advertisedLimit(status.getWord()),
                    status.getPermits(),
                    status.getOthersWaiting()));
        }
        return new LimitUpdate(coded.getSerial(), coded.getSentAtMs(), coded.getAskedAtMs(), statuses);
    }

    private static LimitWord encode(AdvertisedLimit limit) {
        LimitWord coded = new LimitWord(limit.sentAtMs(), limit.receivedAtMs());
        limit.perSecond().ifPresent(coded::setPerSecond);
        return coded;
    }

    private static AdvertisedLimit advertisedLimit(LimitWord coded) {
        OptionalDouble perSecond =
                coded.isSetPerSecond() ? OptionalDouble.of(coded.getPerSecond()) : OptionalDouble.empty();
        return new AdvertisedLimit(perSecond, coded.getSentAtMs(), coded.getHeardAtMs());
    }
}
