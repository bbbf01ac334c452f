package org.hawthornglade.core.replica;

/** Why a model that no call waits for is fetched from the weight store. */
public enum CopyReason {
    /** No engine has the model in memory or on disk. */
    ON_NO_DISK,
    /** The only engines that have the model are leaving. */
    LAST_COPY_LEAVING,
    /** One engine has the model, and its callers cannot wait for a load from the weight store. */
    SECOND_COPY
}
