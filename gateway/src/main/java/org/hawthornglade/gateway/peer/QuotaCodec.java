package org.hawthornglade.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.quota.QuotaGrant;
import org.hawthornglade.core.quota.QuotaReport;
import org.hawthornglade.core.quota.QuotaUpdate;
import org.hawthornglade.core.quota.QuotaUse;
import org.hawthornglade.protocol.gen.peer.QuotaNews;

/**
 * Converts the messages on quotas of teams between entries and their leader to Thrift structures and back.
 *
 * <p>Amounts are sent as whole units: used and asked ones are rounded up, granted and returned ones down.
 */
final class QuotaCodec {
    private static final double PPM = 1e6;

    private QuotaCodec() {}

    static org.hawthornglade.protocol.gen.peer.QuotaReport encode(QuotaReport report) {
        List<org.hawthornglade.protocol.gen.peer.QuotaUse> uses = new ArrayList<>();
        for (QuotaUse use : report.uses()) {
            uses.add(new org.hawthornglade.protocol.gen.peer.QuotaUse(
                    use.team().value(),
                    (long) Math.ceil(use.usedUnits()),
                    (long) Math.floor(use.returnedUnits()),
                    Math.round(use.demandUnitsPerS()),
                    (long) Math.ceil(use.askedUnits()),
                    (long) Math.ceil(use.smallestAskUnits()),
                    Math.round(use.share() * PPM)));
        }
        return new org.hawthornglade.protocol.gen.peer.QuotaReport(
                report.run(), report.sentAtMs(), report.term(), uses);
    }

    static QuotaReport report(org.hawthornglade.protocol.gen.peer.QuotaReport coded) {
        List<QuotaUse> uses = new ArrayList<>();
        for (org.hawthornglade.protocol.gen.peer.QuotaUse use : coded.getUses()) {
            uses.add(new QuotaUse(
                    TeamName.of(use.getTeam()),
                    use.getUsedUnits(),
                    use.getReturnedUnits(),
                    use.getDemandPerS(),
                    use.getAskedUnits(),
                    use.getSmallestAskUnits(),
                    use.getSharePpm() / PPM));
        }
        return new QuotaReport(coded.getRun(), coded.getSentAtMs(), coded.getTerm(), uses);
    }

    static QuotaNews encode(QuotaUpdate update) {
        List<org.hawthornglade.protocol.gen.peer.QuotaGrant> grants = new ArrayList<>();
        for (QuotaGrant grant : update.grants()) {
            grants.add(new org.hawthornglade.protocol.gen.peer.QuotaGrant(
                    grant.team().value(),
                    (long) Math.floor(grant.grantedUnits()),
                    (long) Math.ceil(grant.keepUnits()),
                    Math.round(grant.share() * PPM),
                    grant.shortMs()));
        }
        return new QuotaNews(update.term(), update.reportSentAtMs(), update.entries(), grants);
    }

    static QuotaUpdate update(QuotaNews coded) {
        List<QuotaGrant> grants = new ArrayList<>();
        for (org.hawthornglade.protocol.gen.peer.QuotaGrant grant : coded.getGrants()) {
            grants.add(new QuotaGrant(
                    TeamName.of(grant.getTeam()),
                    grant.getGrantedUnits(),
                    grant.getKeepUnits(),
                    grant.getSharePpm() / PPM,
                    grant.getShortMs()));
        }
        return new QuotaUpdate(coded.getTerm(), coded.getReportSentAtMs(), (int) coded.getEntries(), grants);
    }
}
