package org.hawthornglade.core.plan;

import java.util.function.Function;

/** Chooses between a requested value, the existing value and a default. */
final class StatedValue {
    private StatedValue() {}

    static <S, T> T orExisting(T stated, S existing, Function<S, T> getter, T ifNew) {
        if (stated != null) {
            return stated;
        }
        return existing == null ? ifNew : getter.apply(existing);
    }
}
