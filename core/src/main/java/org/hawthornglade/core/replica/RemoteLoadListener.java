package org.hawthornglade.core.replica;

import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;

/** Hears how loads from the weight store fare, for logs and metrics. */
public interface RemoteLoadListener {
    /** Hears nothing. */
    RemoteLoadListener NONE = new RemoteLoadListener() {
        @Override
        public void onEnded(InstanceId instance, ModelName model, long tookMs, long nominalMs, int atOnce) {}

        @Override
        public void onOverdue(InstanceId instance, ModelName model, long sinceMs, long nominalMs, int atOnce) {}

        @Override
        public void onLimitsChanged(LoadLimits limits, String cause) {}
    };

    /**
     * Takes note that a load has ended.
     *
     * @param tookMs its time in milliseconds
     * @param nominalMs its time in milliseconds at the store's full speed
     * @param atOnce how many loads may have shared the store with it, itself included
     */
    void onEnded(InstanceId instance, ModelName model, long tookMs, long nominalMs, int atOnce);

    /** Takes note, once for each load, that one is late; {@code sinceMs} milliseconds ago it began. */
    void onOverdue(InstanceId instance, ModelName model, long sinceMs, long nominalMs, int atOnce);

    /** Takes note that what is known of the store has changed. */
    void onLimitsChanged(LoadLimits limits, String cause);
}
