package org.hawthornglade.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.hawthornglade.core.id.TeamName;
import org.hawthornglade.core.team.QuotaUnit;
import org.hawthornglade.core.team.TeamQuota;

/**
 * Decides at an entry whether requests are within the quotas of their teams, and reports their use to the leader.
 *
 * <p>A decision takes constant time. While the leader answers, only granted units are used; otherwise the entry uses
 * its share of each quota, which the leader holds back meanwhile.
 */
public final class QuotaClient {
    private final QuotaTolerance tolerance;
    private final long run;
    private final Map<TeamName, TeamStock> stocks = new HashMap<>();
    private final Set<TeamName> limited = new HashSet<>();
    private long term;
    private int entries;
    private long answeredAtMs;
    private long aloneRefilledAtMs;
    private long aloneEndedAtMs = Long.MIN_VALUE / 2;
    private boolean answered;
    private boolean alone;

    /**
     * Creates a client without quotas.
     *
     * @param tolerance by how much the use of quotas may exceed them
     * @param run identifies this run of the process; not 0
     */
    public QuotaClient(QuotaTolerance tolerance, long run) {
        this.tolerance = tolerance;
        this.run = run;
    }

    /** Returns the units that a request counts as; {@code tokens} is empty if it states no numbers of tokens. */
    public static double units(TeamQuota quota, OptionalLong tokens) {
        return quota.unit() == QuotaUnit.REQUEST ? 1 : tokens.orElse(quota.defaultUnits());
    }

    /** Applies the quotas of a configuration at once; what a team without a quota was granted is still counted. */
    public void onConfiguration(Map<TeamName, TeamQuota> quotas) {
        limited.clear();
        limited.addAll(quotas.keySet());
        quotas.forEach((team, quota) -> {
            QuotaAmounts amounts = QuotaAmounts.of(quota, tolerance);
            stocks.computeIfAbsent(team, name -> new TeamStock(name, amounts)).amounts(amounts);
        });
    }

    /** Returns whether at least one team has a quota. */
    public boolean active() {
        return !limited.isEmpty();
    }

    /** Decides on a new request. */
    public QuotaDecision decide(TeamName team, double units, long nowMs) {
        if (!limited.contains(team)) {
            return QuotaDecision.ADMITTED;
        }
        TeamStock stock = stocks.get(team);
        stock.onRequest(units, nowMs);
        QuotaDecision decision = decideAgain(team, units, nowMs);
        if (decision.kind() == QuotaDecision.Kind.ASK) {
            stock.ask(units);
        }
        return decision;
    }

    /** Decides on a request that has asked before; it is not reported as demand again. */
    public QuotaDecision decideAgain(TeamName team, double units, long nowMs) {
        if (!limited.contains(team)) {
            return QuotaDecision.ADMITTED;
        }
        TeamStock stock = stocks.get(team);
        check(nowMs);
        if (stock.tryTakeGranted(units)) {
            return QuotaDecision.ADMITTED;
        }
        if (!alone && nowMs - aloneEndedAtMs < QuotaTimes.STOCK_VALID_MS && stock.tryTakeLeft(units)) {
            return QuotaDecision.ADMITTED;
        }
        if (alone) {
            double part = part(stock, nowMs);
            return stock.tryTakeAlone(units, part)
                    ? QuotaDecision.ADMITTED
                    : QuotaDecision.refused(
                            part > 0
                                    ? Math.min(QuotaTimes.MAX_ALONE_RETRY_AFTER_MS, stock.msUntilAlone(units, part))
                                    : QuotaTimes.ALONE_MS);
        }
        return stock.knownShort(units, nowMs) ? QuotaDecision.refused(stock.msUntilRoom(nowMs)) : QuotaDecision.ASK;
    }

    /** Decides on a request that is held, and asks the leader again with the next report if that may help. */
    public QuotaDecision askAgain(TeamName team, double units, long nowMs) {
        QuotaDecision decision = decideAgain(team, units, nowMs);
        if (decision.kind() == QuotaDecision.Kind.ASK) {
            stocks.get(team).ask(units);
        }
        return decision;
    }

    /** Returns whether no leader answers, so that this entry uses its share only. */
    public boolean leaderless(long nowMs) {
        check(nowMs);
        return alone;
    }

    /** Gives back the units of a request that has not reached any endpoint. */
    public void refund(TeamName team, double units, long nowMs) {
        TeamStock stock = stocks.get(team);
        if (stock == null) {
            return;
        }
        check(nowMs);
        if (alone) {
            stock.refundAlone(units, part(stock, nowMs));
        } else {
            stock.refundGranted(units);
        }
    }

    /** Expires what can no longer be used, and fills the buckets while no leader is heard. */
    private void check(long nowMs) {
        if (answered && nowMs - answeredAtMs < QuotaTimes.ALONE_MS) {
            return;
        }
        if (!alone) {
            alone = true;
            boolean again = answered && nowMs - aloneEndedAtMs < tolerance.windowMs();
            aloneRefilledAtMs = answered ? answeredAtMs + QuotaTimes.ALONE_MS : nowMs;
            stocks.values().forEach(stock -> stock.startAlone(part(stock, nowMs), again));
        }
        if (nowMs == aloneRefilledAtMs) {
            return;
        }
        long elapsedMs = nowMs - aloneRefilledAtMs;
        aloneRefilledAtMs = nowMs;
        boolean expired = nowMs - answeredAtMs >= QuotaTimes.STOCK_VALID_MS;
        for (TeamStock stock : stocks.values()) {
            stock.refillAlone(elapsedMs, part(stock, nowMs));
            if (expired) {
                stock.expireGranted();
            }
        }
    }

    /** Returns the part of a quota that this entry uses without a leader. */
    private double part(TeamStock stock, long nowMs) {
        if (entries == 0) {
            return 0;
        }
        long aloneForMs = nowMs - answeredAtMs;
        if (aloneForMs < QuotaTimes.SHARE_VALID_MS) {
            return stock.share();
        }
        double all = aloneForMs < QuotaTimes.EQUAL_SHARE_VALID_MS ? QuotaTimes.EQUAL_SHARE : QuotaTimes.LAST_SHARE;
        return all / entries;
    }

    /** Returns whether a report should be sent now, because a request waits for it or units run short. */
    public boolean reportUrgent() {
        return stocks.values().stream().anyMatch(stock -> stock.asks() || stock.low());
    }

    /** Returns the report to send to the leader now. */
    public QuotaReport report(long nowMs) {
        if (!active()) {
            return QuotaReport.NONE;
        }
        check(nowMs);
        List<QuotaUse> uses = new ArrayList<>();
        for (TeamStock stock : stocks.values()) {
            if (stock.inUse(nowMs)) {
                uses.add(stock.report(nowMs));
            }
        }
        return new QuotaReport(run, nowMs, term, uses);
    }

    /** Applies an answer of the leader; requests that have asked should be decided again afterwards. */
    public void onUpdate(QuotaUpdate update, long nowMs) {
        if (nowMs - update.reportSentAtMs() >= QuotaTimes.ALONE_MS) {
            return;
        }
        if (update.term() != term) {
            term = update.term();
            stocks.values().forEach(TeamStock::onTerm);
        }
        aloneEndedAtMs = alone ? nowMs : aloneEndedAtMs;
        answered = true;
        alone = false;
        answeredAtMs = Math.max(answeredAtMs, update.reportSentAtMs());
        entries = update.entries();
        for (QuotaGrant grant : update.grants()) {
            TeamStock stock = stocks.get(grant.team());
            if (stock != null) {
                stock.onGrant(grant, nowMs);
            }
        }
    }

    /** Returns the number of entries that the leader reported last; 0 if none has. */
    public int entries() {
        return entries;
    }

    /** Returns the rate of a team's quota, in units per second; 0 if it has none. */
    public double limitPerS(TeamName team) {
        return limited.contains(team) ? stocks.get(team).amounts().unitsPerS() : 0;
    }

    /** Returns the recent demand of a team at this entry, in units per second. */
    public double demandPerS(TeamName team, long nowMs) {
        return limited.contains(team) ? stocks.get(team).demandPerS(nowMs) : 0;
    }

    /** Returns the age of the leader's last answer, in milliseconds. */
    public long answerAgeMs(long nowMs) {
        return nowMs - answeredAtMs;
    }
}
