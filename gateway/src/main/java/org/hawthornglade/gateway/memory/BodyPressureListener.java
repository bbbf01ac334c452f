package org.hawthornglade.gateway.memory;

/** Receives what a budget of bodies does to callers when memory runs short. */
public interface BodyPressureListener {
    /** Ignores everything. */
    BodyPressureListener NONE = new BodyPressureListener() {
        @Override
        public void onHeldBack(long reservedBytes, int waiting) {}

        @Override
        public void onRefused(long reservedBytes, long bytes) {}
    };

    /**
     * A body is not read on for now.
     *
     * @param reservedBytes what is reserved for all bodies
     * @param waiting how many bodies wait, this one included
     */
    void onHeldBack(long reservedBytes, int waiting);

    /**
     * A body was refused.
     *
     * @param reservedBytes what is reserved for all bodies
     * @param bytes what had been received of this one
     */
    void onRefused(long reservedBytes, long bytes);
}
