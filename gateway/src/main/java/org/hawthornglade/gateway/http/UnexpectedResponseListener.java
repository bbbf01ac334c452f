package org.hawthornglade.gateway.http;

import org.hawthornglade.core.fleet.InstanceAddress;

/** Receives the responses that do not belong to the open request of their connection. */
public interface UnexpectedResponseListener {
    /** Ignores all of them. */
    UnexpectedResponseListener NONE = (peer, response) -> {};

    /** Receives such a response, when its head has been read. */
    void onUnexpectedResponse(InstanceAddress peer, UnexpectedResponse response);
}
