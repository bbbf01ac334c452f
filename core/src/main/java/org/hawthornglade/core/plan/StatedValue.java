package org.hawthornglade.core.plan;

import java.util.function.Function;

/** Chooses between a stated value, the value so far and a default. */
final class StatedValue {
    private StatedValue() {}

    static <S, T> T orExisting(T stated, S base, Function<S, T> soFar, T ifNew) {
        if (stated != null) {
            return stated;
        }
        return base == null ? ifNew : soFar.apply(base);
    }
}
