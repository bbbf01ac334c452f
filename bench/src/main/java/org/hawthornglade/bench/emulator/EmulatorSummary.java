package org.hawthornglade.bench.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** Summarises the results of several runs. */
public final class EmulatorSummary {
    private final List<EmulatorResult> results = new ArrayList<>();

    /** Adds a run. */
    public void add(EmulatorResult result) {
        results.add(result);
    }

    /** Returns whether no rule was violated in any run. */
    public boolean clean() {
        return results.stream().allMatch(EmulatorResult::clean);
    }

    /** Returns the last run if a rule was violated in it. */
    public Optional<EmulatorResult> lastIfBroken() {
        EmulatorResult last = results.get(results.size() - 1);
        return last.clean() ? Optional.empty() : Optional.of(last);
    }

    private double sum(ToDoubleFunction<EmulatorResult> figure) {
        return results.stream().mapToDouble(figure).sum();
    }

    @Override
    public String toString() {
        double calls = Math.max(1, sum(EmulatorResult::calls));
        return String.format(
                Locale.ROOT,
                "runs %d  over limit %.0f  to leaving %.0f  to shut %.0f  share of limits used %.2f  calls %.0f"
                        + "  in time %.3f  late %.3f  refused %.3f  messages a second %.0f",
                results.size(),
                sum(EmulatorResult::limitBreaks),
                sum(EmulatorResult::drainBreaks),
                sum(EmulatorResult::budgetBreaks),
                sum(EmulatorResult::limitUse) / results.size(),
                calls,
                sum(EmulatorResult::served) / calls,
                sum(EmulatorResult::late) / calls,
                sum(EmulatorResult::refused) / calls,
                sum(EmulatorResult::messagesPerSecond) / results.size());
    }
}
