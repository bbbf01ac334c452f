package org.hawthornglade.core.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Range;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Function;
import org.hawthornglade.core.dispatch.PacedSite.Rule;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The concurrency limit of a server over all entries, beside the previous rule and a fixed slow-start. */
class PacedSiteTest {
    private static final int BACKLOG = 600;
    private static final int SEEDS = 5;
    /** A call that waits is looked at every 50 ms; a drawing without a winner costs an entry's interval more. */
    private static final long MAX_IDLE_MS = 400;

    /** A server that doubles its speed in 4 s. */
    private static double cold(long atMs) {
        return Math.min(1, 0.5 + atMs / 8_000.0);
    }

    private static double usual(long atMs) {
        return 1;
    }

    /** Work takes 2.5 times as long for 600 ms of each 4 s. */
    private static double noisy(long atMs) {
        return atMs % 4_000 < 600 ? 0.4 : 1;
    }

    /** With more entries than slots they can't know of each other soon enough to keep as close to the limit. */
    private static double maxPeak(int entries) {
        return (entries <= PacedSite.SLOTS ? 2 : 3) * PacedSite.SLOTS;
    }

    private static Map<Rule, PacedSite> play(Function<Rule, PacedSite> day) {
        Map<Rule, PacedSite> sites = new EnumMap<>(Rule.class);
        for (Rule rule : Rule.values()) {
            sites.put(rule, day.apply(rule));
        }
        return sites;
    }

    private static String figures(int seed, Map<Rule, PacedSite> sites) {
        StringBuilder text = new StringBuilder("seed ").append(seed);
        sites.forEach((rule, site) -> text.append(String.format(
                "%n%s peak=%d completed=%d idle_ms=%d full_at_ms=%d",
                rule, site.peak(), site.completed(), site.idleMs(), site.fullAtMs())));
        return text.toString();
    }

    private static void checkFloodAndIdleness(int entries, int seed, Map<Rule, PacedSite> sites) {
        String figures = figures(seed, sites);
        PacedSite adaptive = sites.get(Rule.ADAPTIVE);
        assertWithMessage(figures).that((double) adaptive.peak()).isAtMost(maxPeak(entries));
        assertWithMessage(figures).that(adaptive.idleMs()).isAtMost(MAX_IDLE_MS);
        if (entries > 1) {
            assertWithMessage(figures)
                    .that(adaptive.peak())
                    .isLessThan(sites.get(Rule.PREVIOUS).peak());
        }
        // With more entries than slots the fixed slow-start floods the server, as each entry may send one call.
        if (entries <= PacedSite.SLOTS) {
            assertWithMessage(figures)
                    .that(adaptive.completed())
                    .isGreaterThan(sites.get(Rule.FIXED_SLOW_START).completed());
        }
    }

    /** A server that has just started was sent the calls of all entries at once, or opened too slowly. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 31, 300})
    void coldServerIsNeitherFloodedNorLeftIdle(int entries) {
        for (int seed = 0; seed < SEEDS; seed++) {
            int each = seed;
            Map<Rule, PacedSite> sites = play(rule -> {
                PacedSite site = new PacedSite(rule, entries, PacedSiteTest::cold, false, each);
                site.addWaiting(BACKLOG);
                site.play(300, 0);
                if (rule == Rule.ADAPTIVE) {
                    assertWithMessage("peak in the first 300 ms, seed %s", each)
                            .that(site.peak())
                            .isAtMost(PacedSite.SLOTS);
                }
                site.play(3_700, 120);
                return site;
            });
            checkFloodAndIdleness(entries, seed, sites);
            assertWithMessage(figures(seed, sites))
                    .that(sites.get(Rule.ADAPTIVE).fullAtMs())
                    .isIn(Range.closed(0L, 3_000L));
        }
    }

    /** After a crash all entries had calls waiting and sent them together. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 31, 300})
    void recoveredServerIsNotFloodedByTheCallsThatWaited(int entries) {
        for (int seed = 0; seed < SEEDS; seed++) {
            int each = seed;
            Map<Rule, PacedSite> sites = play(rule -> {
                PacedSite site = new PacedSite(rule, entries, PacedSiteTest::usual, false, each);
                site.play(3_000, 90);
                site.crash();
                site.addWaiting(BACKLOG);
                site.resetCounts();
                site.play(4_000, 90);
                return site;
            });
            checkFloodAndIdleness(entries, seed, sites);
        }
    }

    /** Noise of other workloads must not collapse the limit, whether or not the server states it. */
    @ParameterizedTest
    @CsvSource({"1, false", "4, false", "31, false", "300, false", "1, true", "31, true", "300, true"})
    void noiseDoesNotCollapseTheLimit(int entries, boolean stated) {
        for (int seed = 0; seed < SEEDS; seed++) {
            int each = seed;
            Map<Rule, PacedSite> sites = play(rule -> {
                PacedSite site = new PacedSite(rule, entries, PacedSiteTest::noisy, stated, each);
                site.addWaiting(BACKLOG);
                site.play(6_000, 100);
                site.resetCounts();
                site.addWaiting(3 * BACKLOG);
                site.play(8_000, 100);
                return site;
            });
            String figures = figures(seed, sites);
            PacedSite adaptive = sites.get(Rule.ADAPTIVE);
            assertWithMessage(figures).that(adaptive.medianLimit()).isAtLeast(0.75 * PacedSite.SLOTS);
            assertWithMessage(figures)
                    .that((double) adaptive.completed())
                    .isAtLeast(0.9 * sites.get(Rule.PREVIOUS).completed());
            assertWithMessage(figures).that(adaptive.idleMs()).isEqualTo(0);
        }
    }

    /** A server that crashes again and again must come back into use each time. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 31, 300})
    void flappingServerIsUsedWhileItIsUp(int entries) {
        for (int seed = 0; seed < SEEDS; seed++) {
            int each = seed;
            Map<Rule, PacedSite> sites = play(rule -> {
                PacedSite site = new PacedSite(rule, entries, PacedSiteTest::usual, false, each);
                site.addWaiting(BACKLOG);
                for (int i = 0; i < 5; i++) {
                    site.play(1_500, 90);
                    site.crash();
                }
                return site;
            });
            checkFloodAndIdleness(entries, seed, sites);
        }
    }

    /** A call that comes alone to a cold server must not wait for other entries that want nothing. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 31, 300})
    void callThatArrivesAloneIsSentAtOnce(int entries) {
        for (int seed = 0; seed < SEEDS; seed++) {
            PacedSite site = new PacedSite(Rule.ADAPTIVE, entries, PacedSiteTest::cold, false, seed);
            site.play(3_000, 3);
            assertWithMessage("waited, seed %s", seed).that(site.waited()).isEqualTo(0);
        }
    }
}
