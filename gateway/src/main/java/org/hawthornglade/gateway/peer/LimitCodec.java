package org.hawthornglade.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.limit.EntryAsks;
import org.hawthornglade.core.limit.LimitNews;
import org.hawthornglade.core.limit.LimitStatus;
import org.hawthornglade.core.limit.PermitAsk;
import org.hawthornglade.core.notice.LimitWord;
import org.hawthornglade.protocol.gen.peer.DemandReport;

/** Turns what entries and their leader tell each other of limits into Thrift structures and back. */
final class LimitCodec {
    private LimitCodec() {}

    static void encode(EntryAsks asks, DemandReport into) {
        into.setSentAtMs(asks.sentAtMs());
        into.setSeenSerial(asks.seenSerial());
        into.setAsks(new ArrayList<>());
        asks.asks().forEach(ask -> into.addToAsks(encode(ask)));
    }

    private static org.hawthornglade.protocol.gen.peer.PermitAsk encode(PermitAsk ask) {
        org.hawthornglade.protocol.gen.peer.PermitAsk coded = new org.hawthornglade.protocol.gen.peer.PermitAsk();
        coded.setInstance(ask.instance().value());
        coded.setBornMs(ask.bornMs());
        ask.word().ifPresent(word -> coded.setWord(encode(word)));
        coded.setCalls(ask.calls());
        coded.setBriefCalls(ask.briefCalls());
        coded.setPriority(ask.priority());
        return coded;
    }

    /** Reads what an entry asks; an entry of the version before asks nothing. */
    static EntryAsks asks(DemandReport report) {
        if (!report.isSetAsks()) {
            return EntryAsks.NONE;
        }
        List<PermitAsk> asks = new ArrayList<>();
        for (org.hawthornglade.protocol.gen.peer.PermitAsk coded : report.getAsks()) {
            Optional<LimitWord> word = Optional.ofNullable(coded.getWord()).map(LimitCodec::word);
            asks.add(new PermitAsk(
                    InstanceId.of(coded.getInstance()),
                    coded.getBornMs(),
                    word,
                    coded.getCalls(),
                    coded.getBriefCalls(),
                    coded.getPriority()));
        }
        return new EntryAsks(report.getSentAtMs(), report.getSeenSerial(), asks);
    }

    static org.hawthornglade.protocol.gen.peer.LimitNews encode(LimitNews news) {
        List<org.hawthornglade.protocol.gen.peer.LimitStatus> statuses = new ArrayList<>();
        for (LimitStatus status : news.statuses()) {
            statuses.add(new org.hawthornglade.protocol.gen.peer.LimitStatus(
                    status.instance().value(),
                    status.bornMs(),
                    encode(status.word()),
                    status.permits(),
                    status.othersWaiting()));
        }
        return new org.hawthornglade.protocol.gen.peer.LimitNews(
                news.serial(), news.sentAtMs(), news.askedAtMs(), statuses);
    }

    static LimitNews news(org.hawthornglade.protocol.gen.peer.LimitNews coded) {
        List<LimitStatus> statuses = new ArrayList<>();
        for (org.hawthornglade.protocol.gen.peer.LimitStatus status : coded.getStatuses()) {
            statuses.add(new LimitStatus(
                    InstanceId.of(status.getInstance()),
                    status.getBornMs(),
                    word(status.getWord()),
                    status.getPermits(),
                    status.getOthersWaiting()));
        }
        return new LimitNews(coded.getSerial(), coded.getSentAtMs(), coded.getAskedAtMs(), statuses);
    }

    private static org.hawthornglade.protocol.gen.peer.LimitWord encode(LimitWord word) {
        org.hawthornglade.protocol.gen.peer.LimitWord coded =
                new org.hawthornglade.protocol.gen.peer.LimitWord(word.sentAtMs(), word.heardAtMs());
        word.perSecond().ifPresent(coded::setPerSecond);
        return coded;
    }

    private static LimitWord word(org.hawthornglade.protocol.gen.peer.LimitWord coded) {
        OptionalDouble perSecond =
                coded.isSetPerSecond() ? OptionalDouble.of(coded.getPerSecond()) : OptionalDouble.empty();
        return new LimitWord(perSecond, coded.getSentAtMs(), coded.getHeardAtMs());
    }
}
