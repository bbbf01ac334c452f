package org.hawthornglade.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.limit.PermitRequests;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.limit.LimitStatus;
import org.hawthornglade.core.limit.PermitRequest;
import org.hawthornglade.core.notice.AdvertisedLimit;
import org.hawthornglade.protocol.gen.peer.DemandReport;

/** Turns what entries and their leader tell each other of limits into Thrift structures and back. */
final class LimitCodec {
    private LimitCodec() {}

    static void encode(PermitRequests asks, DemandReport into) {
        into.setSentAtMs(asks.sentAtMs());
        into.setSeenSerial(asks.seenSerial());
        into.setAsks(new ArrayList<>());
        asks.requests().forEach(ask -> into.addToAsks(encode(ask)));
    }

    private static org.hawthornglade.protocol.gen.peer.PermitAsk encode(PermitRequest ask) {
        org.hawthornglade.protocol.gen.peer.PermitAsk coded = new org.hawthornglade.protocol.gen.peer.PermitAsk();
        coded.setInstance(ask.instance().value());
        coded.setBornMs(ask.bornMs());
        ask.limit().ifPresent(word -> coded.setWord(encode(word)));
        coded.setCalls(ask.calls());
        coded.setBriefCalls(ask.briefCalls());
        coded.setPriority(ask.priority());
        return coded;
    }

    /** Reads what an entry asks; an entry of the version before asks nothing. */
    static PermitRequests permitRequests(DemandReport report) {
        if (!report.isSetAsks()) {
            return PermitRequests.NONE;
        }
        List<PermitRequest> asks = new ArrayList<>();
        for (org.hawthornglade.protocol.gen.peer.PermitAsk coded : report.getAsks()) {
            Optional<AdvertisedLimit> word = Optional.ofNullable(coded.getWord()).map(LimitCodec::advertisedLimit);
            asks.add(new PermitRequest(
                    InstanceId.of(coded.getInstance()),
                    coded.getBornMs(),
                    word,
                    coded.getCalls(),
                    coded.getBriefCalls(),
                    coded.getPriority()));
        }
        return new PermitRequests(report.getSentAtMs(), report.getSeenSerial(), asks);
    }

    static org.hawthornglade.protocol.gen.peer.LimitNews encode(LimitUpdate news) {
        List<org.hawthornglade.protocol.gen.peer.LimitStatus> statuses = new ArrayList<>();
        for (LimitStatus status : news.statuses()) {
            statuses.add(new org.hawthornglade.protocol.gen.peer.LimitStatus(
                    status.instance().value(),
                    status.bornMs(),
                    encode(status.limit()),
                    status.permits(),
                    status.othersWaiting()));
        }
        return new org.hawthornglade.protocol.gen.peer.LimitNews(
                news.serial(), news.sentAtMs(), news.requestedAtMs(), statuses);
    }

    static LimitUpdate limitUpdate(org.hawthornglade.protocol.gen.peer.LimitNews coded) {
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

    private static org.hawthornglade.protocol.gen.peer.LimitWord encode(AdvertisedLimit word) {
        org.hawthornglade.protocol.gen.peer.LimitWord coded =
                new org.hawthornglade.protocol.gen.peer.LimitWord(word.sentAtMs(), word.receivedAtMs());
        word.perSecond().ifPresent(coded::setPerSecond);
        return coded;
    }

    private static AdvertisedLimit advertisedLimit(org.hawthornglade.protocol.gen.peer.LimitWord coded) {
        OptionalDouble perSecond =
                coded.isSetPerSecond() ? OptionalDouble.of(coded.getPerSecond()) : OptionalDouble.empty();
        return new AdvertisedLimit(perSecond, coded.getSentAtMs(), coded.getHeardAtMs());
    }
}
