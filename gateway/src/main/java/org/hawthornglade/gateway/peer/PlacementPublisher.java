package org.hawthornglade.gateway.peer;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sends the placements of the leader to its followers.
 *
 * <p>A new follower is sent all placements, and later what has changed since its last frame. Numbers of running calls
 * change all the time and are sent in intervals. In each such interval one follower in turn is sent everything again,
 * so that none keeps instances that are gone.
 */
final class PlacementPublisher {
    /** A follower that nothing else is sent to is sent a frame in this interval, as a sign of life. */
    private static final long HEARTBEAT_MS = 300;

    /** A follower, to which frames can be sent. */
    interface Follower {
        /** Sends a frame; returns whether it was sent. */
        boolean send(byte[] frame);
    }

    /** What a follower was sent last. */
    private static final class Sent {
        private long placementSerial;
        private long runningSerial;
        private long heartbeatAtMs;

        boolean anything() {
            return placementSerial > 0;
        }
    }

    /** The content of a frame: followers to which the same was sent before get the same one. */
    private record Content(boolean complete, long placementsSince, long runningSince) {}

    private final Map<Follower, Sent> followers = new LinkedHashMap<>();
    private final PlacementHistory history = new PlacementHistory();
    private long completeAtMs;

    /** Adds a follower, which is sent all placements next. */
    void add(Follower follower) {
        followers.put(follower, new Sent());
    }

    void remove(Follower follower) {
        followers.remove(follower);
    }

    /**
     * Sends to each follower what it does not know yet, if there is anything or a heartbeat is due.
     *
     * @param update the placements of all instances
     * @return the number of bytes sent, over all followers
     */
    long publish(PlacementUpdate update, long nowMs) {
        history.record(update);
        if (followers.isEmpty()) {
            return 0;
        }
        Follower refreshed = nextRefreshed(nowMs);
        Map<Content, byte[]> frames = new HashMap<>();
        long bytes = 0;
        for (Map.Entry<Follower, Sent> each : followers.entrySet()) {
            Content content = content(each.getValue(), each.getKey() == refreshed, nowMs);
            byte[] frame = frames.computeIfAbsent(content, wanted -> encode(wanted, nowMs));
            if (frame.length > 0 && each.getKey().send(frame)) {
                onSent(each.getValue(), content, nowMs);
                bytes += frame.length;
            }
        }
        return bytes;
    }

    /** Returns the follower whose turn it is to be sent everything again; null if that is not due. */
    private Follower nextRefreshed(long nowMs) {
        if (nowMs - completeAtMs < HEARTBEAT_MS) {
            return null;
        }
        completeAtMs = nowMs;
        Follower next = followers.keySet().iterator().next();
        followers.put(next, followers.remove(next));
        return next;
    }

    private Content content(Sent sent, boolean refresh, long nowMs) {
        boolean heartbeat = nowMs - sent.heartbeatAtMs >= HEARTBEAT_MS;
        // Without a heartbeat, no number of calls counts as changed.
        long runningSince = heartbeat ? sent.runningSerial : history.serial();
        return new Content(refresh || !sent.anything(), sent.placementSerial, runningSince);
    }

    /** Returns an empty frame if there is nothing to send. */
    private byte[] encode(Content content, long nowMs) {
        if (content.complete()) {
            return PeerCodec.encode(history.newest(), nowMs);
        }
        PlacementUpdate changes = history.changes(content.placementsSince(), content.runningSince());
        boolean heartbeat = content.runningSince() < history.serial();
        return heartbeat || !changes.placements().isEmpty() ? PeerCodec.encode(changes, nowMs) : new byte[0];
    }

    private void onSent(Sent sent, Content content, long nowMs) {
        sent.placementSerial = history.serial();
        if (content.complete() || content.runningSince() < history.serial()) {
            sent.runningSerial = history.serial();
            sent.heartbeatAtMs = nowMs;
        }
    }
}
