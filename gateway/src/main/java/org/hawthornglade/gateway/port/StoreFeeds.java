package org.hawthornglade.gateway.port;

/** Follows the configuration and the list of instances in the platform's store. */
public interface StoreFeeds {
    /** Starts to follow; the listener is called until the process ends. */
    void start(StoreListener listener);

    /** Says whether changes of instances are needed at once, as the placement leader needs them. */
    void setUrgent(boolean on);
}
