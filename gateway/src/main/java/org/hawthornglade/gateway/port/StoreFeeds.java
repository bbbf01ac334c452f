package org.hawthornglade.gateway.port;

/** Watches the configuration and the list of instances in the platform's store. */
public interface StoreFeeds {
    /** Starts watching; the listener is called until the process ends. */
    void start(StoreListener listener);

    /** Sets whether instance changes must be delivered at once, as the placement leader requires. */
    void setUrgent(boolean urgent);
}
