package org.hawthornglade.core.chart;

import io.vavr.control.Either;
import java.util.Optional;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * An instance of a chart with a current state, such as the life cycle of one replica.
 *
 * <p>Not thread-safe.
 *
 * @param <S> the states
 * @param <E> the events
 */
public final class ChartInstance<S extends Enum<S>, E extends Enum<E>> {
    private final StateChart<S, E> chart;
    private S state;

    ChartInstance(StateChart<S, E> chart, S state) {
        this.chart = chart;
        this.state = state;
    }

    public S state() {
        return state;
    }

    public boolean isTerminal() {
        return chart.isTerminal(state);
    }

    /** Returns whether an event would change the state. */
    public boolean accepts(E event) {
        return chart.target(state, event).isPresent();
    }

    /**
     * Applies an event.
     *
     * @return the new state; left with {@link ResultCode#INTERNAL_ERROR}, and the state unchanged, if the event has no
     *     effect in this state
     */
    public Either<Failure, S> fire(E event) {
        Optional<S> target = chart.target(state, event);
        if (target.isEmpty()) {
            return Either.left(Failure.of(
                    ResultCode.INTERNAL_ERROR, chart.name() + " has no transition on " + event + " in state " + state));
        }
        state = target.get();
        return Either.right(state);
    }
}
