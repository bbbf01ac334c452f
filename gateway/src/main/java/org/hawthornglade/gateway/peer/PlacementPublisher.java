package org.hawthornglade.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Sends the placements of the leader to its followers.
 *
 * <p>A new follower is sent all placements, and later what has changed since its last frame. Expected times of loads
 * and numbers of running calls change all the time and are sent with a heartbeat. In each such interval one follower in
 * turn is sent everything again, so that none keeps instances that are gone.
 *
 * <p>The bytes of any second are bounded. If they do not suffice, heartbeats are sent without content, and the
 * followers are sent content in turn.
 */
final class PlacementPublisher {
    /** A follower that nothing else is sent to is sent a frame in this interval, to show that the leader lives. */
    private static final long HEARTBEAT_MS = 300;
    /** Half of the smallest link, which carries 10 Mbit/s: calls, orders, reports and the lease need the rest. */
    private static final long MAX_BYTES_PER_S = 625_000;
    /** Heartbeats that a follower may be sent in a second, both ends of which count. */
    private static final long HEARTBEATS_PER_S = 4;

    /** A follower, to which frames can be sent. */
    interface Follower {
        /** Sends a frame; returns whether it was sent. */
        boolean send(byte[] frame);
    }

    /** What a follower was sent last. */
    private static final class Sent {
        private PlacementMarks marks = PlacementMarks.NONE;
        private boolean anything;
        private long heartbeatAtMs;

        boolean heartbeatDue(long nowMs) {
            return !anything || nowMs - heartbeatAtMs >= HEARTBEAT_MS;
        }
    }

    /** The content of a frame: followers to which the same was sent before get the same one. */
    private record Content(boolean complete, boolean heartbeat, PlacementMarks since) {}

    /** An encoded frame, with the marks of a follower that was sent it; no bytes if there is nothing to send. */
    private static final class Frame {
        private final byte[] bytes;
        private final PlacementMarks marks;

        Frame(byte[] bytes, PlacementMarks marks) {
            this.bytes = bytes;
            this.marks = marks;
        }

        int length() {
            return bytes.length;
        }
    }

    private final Map<Follower, Sent> followers = new LinkedHashMap<>();
    private final PlacementHistory history = new PlacementHistory();
    private final SendBudget budget = new SendBudget();
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
        history.record(update, nowMs);
        Frame heartbeat = frame(history.nothing(PlacementMarks.NONE), nowMs);
        long contentBytes =
                MAX_BYTES_PER_S - followers.size() * HEARTBEATS_PER_S * heartbeat.length() - budget.sentBytes(nowMs);
        Follower refreshed = nextRefreshed(nowMs);
        Map<Content, Frame> frames = new HashMap<>();
        List<Follower> served = new ArrayList<>();
        long bytes = 0;
        for (Map.Entry<Follower, Sent> each : followers.entrySet()) {
            Sent sent = each.getValue();
            Content content = content(sent, each.getKey() == refreshed, nowMs);
            Frame frame =
                    contentBytes > 0 ? frames.computeIfAbsent(content, wanted -> frame(wanted, nowMs)) : heartbeat;
            boolean fits = frame.length() <= contentBytes;
            if (fits && frame.length() > 0 && each.getKey().send(frame.bytes)) {
                onSent(sent, content, frame, nowMs);
                served.add(each.getKey());
                contentBytes -= frame.length();
                budget.onSent(frame.length(), nowMs);
                bytes += frame.length();
            } else if (!fits) {
                // The rest waits for its turn, so that large frames are not passed over for small ones.
                contentBytes = 0;
                if (content.heartbeat() && each.getKey().send(heartbeat.bytes)) {
                    sent.heartbeatAtMs = nowMs;
                    sent.anything = true;
                    bytes += heartbeat.length();
                }
            }
        }
        if (contentBytes == 0) {
            served.forEach(follower -> followers.put(follower, followers.remove(follower)));
        }
        return bytes;
    }

    /** Returns the follower whose turn it is to be sent everything again; null if that is not due. */
    private Follower nextRefreshed(long nowMs) {
        if (followers.isEmpty() || nowMs - completeAtMs < HEARTBEAT_MS) {
            return null;
        }
        completeAtMs = nowMs;
        Follower next = followers.keySet().iterator().next();
        followers.put(next, followers.remove(next));
        return next;
    }

    private Content content(Sent sent, boolean refresh, long nowMs) {
        return new Content(refresh, sent.heartbeatDue(nowMs), sent.marks);
    }

    private Frame frame(Content content, long nowMs) {
        boolean nothingSent = content.since().equals(PlacementMarks.NONE);
        if (nothingSent ? history.fitsInOneFrame() : content.complete()) {
            return frame(history.newest(), nowMs);
        }
        PlacementHistory.Changes changes = history.changes(content.since(), content.heartbeat());
        boolean empty = changes.update().placements().isEmpty() && !content.heartbeat();
        return empty ? new Frame(new byte[0], content.since()) : frame(changes, nowMs);
    }

    private static Frame frame(PlacementHistory.Changes changes, long nowMs) {
        return new Frame(PeerCodec.encode(changes.update(), nowMs), changes.marks());
    }

    private static void onSent(Sent sent, Content content, Frame frame, long nowMs) {
        sent.anything = true;
        sent.marks = frame.marks;
        if (content.complete() || content.heartbeat()) {
            sent.heartbeatAtMs = nowMs;
        }
    }
}
