package org.hawthornglade.gateway.port;

import org.hawthornglade.core.store.StoreEra;

/** Watches the configuration and the list of instances in the platform's store. */
public interface StoreFeeds {
    /** Starts watching; the listener is called until the process ends. */
    void start(StoreListener listener);

    /** Sets whether instance changes must be delivered at once, as the placement leader requires. */
    void setUrgent(boolean urgent);

    /** Handles the era of the store that another entry has named: if it is a later one, the store was restored. */
    void onStoreEra(StoreEra era);
}
