package org.hawthornglade.gateway.port;

import java.util.Collection;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.store.StoreEra;

/** Receives updates from the platform's store, on the event loop. */
public interface StoreListener {
    /** Called when the store was restored from an older copy, before anything that is read from it then. */
    void onStoreRestored(StoreEra era);

    /** Handles a configuration, possibly one that is already known. */
    void onConfiguration(ServingConfiguration configuration);

    /** Handles the complete list of instances. */
    void onInstances(Collection<InstanceRecord> records);

    /** Handles one changed record. */
    void onInstance(InstanceRecord record);

    /** Handles the removal of a record. */
    void onInstanceRemoved(InstanceId id);

    /** Called when the list of instances is reachable again. */
    void onListReachable();

    /** Called when the list of instances cannot be read. */
    void onListUnreachable(String reason);
}
