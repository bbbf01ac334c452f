package org.hawthornglade.core.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.EnumMap;
import java.util.Map;
import org.hawthornglade.core.dispatch.PacedLoad.Day;
import org.hawthornglade.core.pace.PacingRules;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** A deployment whose engines are mostly far below their slots, with and without pacing on the same seeds. */
class PacedDeploymentTest {
    private static final int SEEDS = 4;
    private static final long DURATION_MS = 30_000;
    /** What the calls in time may be below those without pacing, in percent of all calls. */
    private static final double TOLERANCE = 0.5;

    private static final Map<Day, String> WITHOUT = new EnumMap<>(Day.class);
    private static final Map<Day, Double> WITHOUT_IN_TIME = new EnumMap<>(Day.class);

    private static final PacingRules LIMIT = new PacingRules(true, false, false);
    private static final PacingRules CHOICE = new PacingRules(false, true, false);
    private static final PacingRules BOTH = new PacingRules(true, true, false);
    private static final PacingRules ALL = new PacingRules(true, true, true);

    private static double inTime(Day day, PacingRules rules, StringBuilder figures) {
        int calls = 0;
        int inTime = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            PacedDeployment deployment = new PacedDeployment(day, rules, seed).play(DURATION_MS);
            calls += deployment.figures().calls();
            inTime += deployment.figures().inTime();
            figures.append(String.format(
                    "%n%s seed=%d %s", rules, seed, deployment.figures().line()));
        }
        return 100.0 * inTime / calls;
    }

    /** The plays without pacing are the same for all tests. */
    private static String figuresWithout(Day day) {
        return WITHOUT.computeIfAbsent(day, any -> {
            StringBuilder figures = new StringBuilder();
            WITHOUT_IN_TIME.put(day, inTime(day, PacingRules.NONE, figures));
            return figures.toString();
        });
    }

    private static void checkNotWorse(Day day, PacingRules rules) {
        StringBuilder figures = new StringBuilder(figuresWithout(day));
        double without = WITHOUT_IN_TIME.get(day);
        assertWithMessage("%s%s", day, figures)
                .that(inTime(day, rules, figures))
                .isAtLeast(without - TOLERANCE);
    }

    /** A cold start must be served better with pacing, not just as well. */
    @Test
    void coldStartIsServedBetter() {
        StringBuilder figures = new StringBuilder(figuresWithout(Day.COLD_START));
        double with = inTime(Day.COLD_START, BOTH, figures);
        assertWithMessage("%s", figures).that(with).isAtLeast(WITHOUT_IN_TIME.get(Day.COLD_START) + 1);
    }

    /** Pacing as a whole served callers of whole deployments later than no pacing. */
    @ParameterizedTest
    @EnumSource(Day.class)
    void pacingServesCallersNoLater(Day day) {
        checkNotWorse(day, BOTH);
    }

    /** Accounting for memory beside pacing held calls back at engines with few calls. */
    @ParameterizedTest
    @EnumSource(Day.class)
    void pacingAndSharedMemoryServeCallersNoLater(Day day) {
        checkNotWorse(day, ALL);
    }

    /** The choice by expected time lost more by estimates from single responses than it gained. */
    @ParameterizedTest
    @EnumSource(Day.class)
    void choiceByExpectedTimeServesCallersNoLater(Day day) {
        checkNotWorse(day, CHOICE);
    }

    /** A limit that is low at each start held calls back at engines with most of their slots free. */
    @ParameterizedTest
    @CsvSource({"USUAL", "BURSTS", "RESTARTS", "COLD_START", "RECOVERY"})
    void limitHoldsNoCallBackAtEnginesFarBelowTheirSlots(Day day) {
        PacedDeployment deployment = new PacedDeployment(day, LIMIT, 0).play(DURATION_MS);
        assertWithMessage("held back").that(deployment.figures().heldBack()).isEqualTo(0);
    }
}
