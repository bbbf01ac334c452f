package org.hawthornglade.core.fleet;

/** How far a model or adapter is on an instance. */
public enum ReplicaStatus {
    /** Requests may be sent. */
    READY,
    /** An order to load it is under way. */
    LOADING,
    /** It is being removed; new requests would be refused. */
    UNLOADING
}
