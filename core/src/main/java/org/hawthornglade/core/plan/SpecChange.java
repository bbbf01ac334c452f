package org.hawthornglade.core.plan;

/**
 * A stated change of one named entry of a configuration; fields that are null keep their value.
 *
 * @param <N> the entry's name
 * @param <S> the entry
 */
public interface SpecChange<N, S> {
    /** Returns the name of the entry that is added or changed. */
    N name();

    /** Returns the entry as it should be; {@code soFar} is null if there is none yet. */
    S applyTo(S soFar);
}
