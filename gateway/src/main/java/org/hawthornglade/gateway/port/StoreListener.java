package org.hawthornglade.gateway.port;

import java.util.Collection;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.serving.ServingConfiguration;

/** Takes what the platform's store tells, on the event loop. */
public interface StoreListener {
    /** Takes a configuration; it may be one that is known already. */
    void onConfiguration(ServingConfiguration configuration);

    /** Takes the whole list of instances. */
    void onInstances(Collection<InstanceRecord> records);

    /** Takes one changed record. */
    void onInstance(InstanceRecord record);

    /** Takes note that a record is gone. */
    void onInstanceRemoved(InstanceId id);

    /** Takes note that the list of instances answers again. */
    void onListReachable();

    /** Takes note that the list of instances does not answer. */
    void onListLost(String reason);
}
