package org.hawthornglade.core.replica;

import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/** Receives the progress of loads from the weight store, for logs and metrics. */
public interface RemoteLoadListener {
    /** A listener that ignores all notifications. */
    RemoteLoadListener NONE = new RemoteLoadListener() {
        @Override
        public void onEnded(InstanceId instance, ModelName model, long tookMs, long nominalMs, int concurrent) {}

        @Override
        public void onOverdue(InstanceId instance, ModelName model, long sinceMs, long nominalMs, int concurrent) {}

        @Override
        public void onLimitsChanged(LoadLimits limits, String cause) {}
    };

    /**
     * Called when a load has ended.
     *
     * @param tookMs its duration in milliseconds
     * @param nominalMs its duration in milliseconds at the full speed of the store
     * @param concurrent how many loads may have shared the store with it, itself included
     */
    void onEnded(InstanceId instance, ModelName model, long tookMs, long nominalMs, int concurrent);

    /** Called once for each load that becomes overdue; it started {@code sinceMs} milliseconds ago. */
    void onOverdue(InstanceId instance, ModelName model, long sinceMs, long nominalMs, int concurrent);

    /**
     * Called when a fetch that no call waits for is ordered, or an eviction that makes room for it.
     *
     * @param order the load or unload
     * @param fetched the model that is fetched
     */
    default void onCopyOrder(ReplicaOrder order, ModelName fetched, CopyReason reason) {}

    /** Called when the learned limits of the store have changed. */
    void onLimitsChanged(LoadLimits limits, String cause);
}
