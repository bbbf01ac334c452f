package org.hawthornglade.gateway.exchange;

import java.util.function.Consumer;
import org.hawthornglade.core.fleet.InstanceRecord;

/**
 * Finds out whether an instance has started again since its record was written.
 *
 * <p>A new start under the same id may run another version of the software, and the list shows it only later.
 */
public interface StartCheck {
    /** What is known of the start of an instance. */
    enum Result {
        /** The instance runs since the start that its record names. */
        SAME,
        /** The instance has started again, or another one has its address. */
        OTHER,
        /** The instance did not answer in time, or with something else. */
        UNKNOWN
    }

    /**
     * Checks the start of the process that listens at the address of an instance.
     *
     * @param record the record by which the instance was chosen
     * @param done receives the result, exactly once
     */
    void check(InstanceRecord record, Consumer<Result> done);
}
