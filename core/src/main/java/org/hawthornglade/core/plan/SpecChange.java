package org.hawthornglade.core.plan;

/**
 * A requested change of one named entry of a configuration. Fields that are null keep their current value.
 *
 * @param <N> the type of the entry's name
 * @param <S> the type of the entry
 */
public interface SpecChange<N, S> {
    /** Returns the name of the entry that is added or changed. */
    N name();

    /** Returns the changed entry; {@code existing} is null if the configuration has no entry of this name. */
    S applyTo(S existing);
}
