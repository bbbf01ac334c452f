package org.hawthornglade.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/** The counts of one play of {@link PacedDeployment}. */
final class PacedFigures {
    final Map<String, Integer> offeredByKind = new HashMap<>();
    final Map<String, Integer> inTimeByKind = new HashMap<>();
    int calls;
    int inTime;
    int firstCalls;
    int firstInTime;
    int heldBack;
    int crashes;
    long cachedTokens;
    long promptTokens;
    double limitSum;
    int limitCount;

    int calls() {
        return calls;
    }

    int inTime() {
        return inTime;
    }

    /** Returns the calls for models of an engine that had started less than {@link PacedDeployment#FIRST_MS} before. */
    int firstCalls() {
        return firstCalls;
    }

    int firstInTime() {
        return firstInTime;
    }

    /** Returns how often a call was held back while an engine with its model had few calls. */
    int heldBack() {
        return heldBack;
    }

    /** Returns the figures of the play as one line. */
    String line() {
        StringBuilder kinds = new StringBuilder();
        for (PacedLoad.Kind kind : PacedLoad.KINDS) {
            String name = kind.route().name();
            kinds.append(String.format(
                    " %s=%.1f",
                    name, 100.0 * inTimeByKind.getOrDefault(name, 0) / Math.max(1, offeredByKind.get(name))));
        }
        return String.format(
                "calls=%d in_time=%.2f first=%d first_in_time=%.2f held_back=%d crashes=%d cached=%.2f limit=%.0f%s",
                calls,
                100.0 * inTime / Math.max(1, calls),
                firstCalls,
                100.0 * firstInTime / Math.max(1, firstCalls),
                heldBack,
                crashes,
                (double) cachedTokens / Math.max(1, promptTokens),
                limitSum / Math.max(1, limitCount),
                kinds);
    }
}
