package org.hawthornglade.core.fleet;

/** The status of a model or adapter on an instance. */
public enum ReplicaStatus {
    /** Requests may be sent. */
    READY,
    /** An order to load it is in progress. */
    LOADING,
    /** It is being unloaded; new requests would be refused. */
    UNLOADING
}
