package org.hawthornglade.gateway.peer;

import java.util.HashSet;
import java.util.Set;

/** Sends the placements of the leader to its followers. */
final class PlacementPublisher {
    /** A follower, to which frames can be sent. */
    interface Follower {
        /** Sends a frame; returns whether it was sent. */
        boolean send(byte[] frame);
    }

    private final Set<Follower> followers = new HashSet<>();

    void add(Follower follower) {
        followers.add(follower);
    }

    void remove(Follower follower) {
        followers.remove(follower);
    }

    /**
     * Sends an update to the followers.
     *
     * @param update the placements of all instances
     * @return the number of bytes sent, over all followers
     */
    long publish(PlacementUpdate update, long nowMs) {
        if (followers.isEmpty()) {
            return 0;
        }
        byte[] frame = PeerCodec.encode(update, nowMs);
        long bytes = 0;
        for (Follower follower : followers) {
            bytes += follower.send(frame) ? frame.length : 0;
        }
        return bytes;
    }
}
