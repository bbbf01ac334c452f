package org.hawthornglade.core.team;

import com.google.common.base.Preconditions;

/**
 * A caller's secret key. Its text form hides the value, so that it cannot reach a log line.
 *
 * @param value the secret; not empty
 */
public record ApiKey(String value) {
    /** Validates the value. */
    public ApiKey {
        Preconditions.checkArgument(!value.isEmpty(), "empty key");
    }

    @Override
    public String toString() {
        return "(hidden key)";
    }
}
