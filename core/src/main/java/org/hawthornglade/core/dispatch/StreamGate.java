package org.hawthornglade.core.dispatch;

import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;

/** Keeps streams from versions of a service's software that are not listed for all entries yet. */
@FunctionalInterface
public interface StreamGate {
    /** Keeps no stream back. */
    StreamGate OPEN = (service, version) -> true;

    /** Returns whether a stream may be sent to instances of a service with this version. */
    boolean listed(ServiceName service, SoftwareVersion version);
}
