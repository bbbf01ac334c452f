package org.hawthornglade.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.quarantine.CrashReport;
import org.hawthornglade.core.quarantine.InstanceCrash;
import org.hawthornglade.core.quarantine.QuarantineReport;
import org.hawthornglade.core.quarantine.QuarantineUpdate;
import org.hawthornglade.core.quarantine.QuarantinedPart;
import org.hawthornglade.core.quarantine.Suspect;
import org.hawthornglade.protocol.gen.peer.CutOffCall;
import org.hawthornglade.protocol.gen.peer.Quarantine;
import org.hawthornglade.protocol.gen.peer.QuarantineNews;

/**
 * Converts the messages on parts of prompts in quarantine to Thrift structures and back.
 *
 * <p>Times are sent as durations, since each entry has its own steady clock.
 */
final class QuarantineCodec {
    private QuarantineCodec() {}

    static org.hawthornglade.protocol.gen.peer.QuarantineReport encode(
            String entry, QuarantineReport report, long nowMs) {
        List<CutOffCall> crashes = new ArrayList<>();
        for (CrashReport each : report.crashes()) {
            CutOffCall call = new CutOffCall(
                    each.crash().instance().value(),
                    each.crash().bornMs(),
                    nowMs - each.atMs(),
                    texts(each.suspects()));
            crashes.add(call.setSentAgoMs(nowMs - each.sentAtMs()));
        }
        Map<String, Long> completedAgoMs = new HashMap<>();
        report.completedMs().forEach((part, atMs) -> completedAgoMs.put(part.value(), nowMs - atMs));
        return new org.hawthornglade.protocol.gen.peer.QuarantineReport(
                entry, crashes, completedAgoMs, encode(report.quarantined(), nowMs), texts(report.refused()));
    }

    static QuarantineReport report(org.hawthornglade.protocol.gen.peer.QuarantineReport coded, long nowMs) {
        List<CrashReport> crashes = new ArrayList<>();
        for (CutOffCall each : coded.getCrashes()) {
            InstanceCrash crash = new InstanceCrash(InstanceId.of(each.getInstance()), each.getBornMs());
            // Entries of the previous version do not tell when a call was sent.
            long sentAtMs = each.isSetSentAgoMs() ? nowMs - each.getSentAgoMs() : Long.MIN_VALUE;
            crashes.add(new CrashReport(crash, sentAtMs, nowMs - each.getAgoMs(), parts(each.getParts())));
        }
        Map<Suspect, Long> completedMs = new HashMap<>();
        coded.getCompletedAgoMs().forEach((part, agoMs) -> completedMs.put(new Suspect(part), nowMs - agoMs));
        return new QuarantineReport(
                crashes, completedMs, quarantined(coded.getQuarantined(), nowMs), partSet(coded.getRefused()));
    }

    static QuarantineNews encode(QuarantineUpdate update, long nowMs) {
        return new QuarantineNews(texts(update.suspects()), encode(update.quarantined(), nowMs));
    }

    static QuarantineUpdate update(QuarantineNews coded, long nowMs) {
        return new QuarantineUpdate(partSet(coded.getSuspects()), quarantined(coded.getQuarantined(), nowMs));
    }

    private static List<Quarantine> encode(List<QuarantinedPart> parts, long nowMs) {
        List<Quarantine> coded = new ArrayList<>();
        for (QuarantinedPart each : parts) {
            Quarantine quarantine = new Quarantine(
                    each.part().value(),
                    each.untilMs() - nowMs,
                    each.quarantines(),
                    texts(each.members()),
                    nowMs - each.blamedFromMs());
            each.prober().ifPresent(quarantine::setProber);
            coded.add(quarantine);
        }
        return coded;
    }

    private static List<QuarantinedPart> quarantined(List<Quarantine> coded, long nowMs) {
        List<QuarantinedPart> parts = new ArrayList<>();
        for (Quarantine each : coded) {
            parts.add(new QuarantinedPart(
                    new Suspect(each.getPart()),
                    partSet(each.getMembers()),
                    nowMs - each.getBlamedAgoMs(),
                    nowMs + each.getLeftMs(),
                    each.getQuarantines(),
                    Optional.ofNullable(each.getProber())));
        }
        return parts;
    }

    private static List<String> texts(Iterable<Suspect> parts) {
        List<String> texts = new ArrayList<>();
        parts.forEach(part -> texts.add(part.value()));
        return texts;
    }

    private static List<Suspect> parts(List<String> texts) {
        return texts.stream().map(Suspect::new).toList();
    }

    private static Set<Suspect> partSet(List<String> texts) {
        return new HashSet<>(parts(texts));
    }
}
