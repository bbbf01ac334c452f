package org.hawthornglade.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.id.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What followers know of the placements after changes, dropped frames and new connections. */
class PlacementPublisherTest {
    private static final int STEPS = 400;
    private static final long STEP_MS = 20;
    private static final int ENGINES = 12;
    private static final int FOLLOWERS = 5;

    /** A follower that puts together what it is sent, and that at times reads too slowly to be sent anything. */
    private static final class SlowFollower implements PlacementPublisher.Follower {
        private Optional<PlacementUpdate> known = Optional.empty();
        private boolean dropping;
        private long nowMs;

        @Override
        public boolean send(byte[] frame) {
            if (dropping) {
                return false;
            }
            PlacementUpdate update = PeerCodec.placement(PeerCodec.decode(frame).getPlacement(), nowMs);
            known = Optional.of(known.map(update::mergedInto).orElse(update));
            return true;
        }

        Map<InstanceId, InstancePlacement> placements() {
            return byId(known.orElseThrow());
        }
    }

    /** Guards against followers that miss a change because only changes are sent. */
    @ParameterizedTest
    @CsvSource({"0, 1", "0, 2", "0.2, 3", "0.2, 4", "0.8, 5", "0.8, 6"})
    void followersKnowAllPlacementsAfterTheNextFrame(double dropShare, long seed) {
        Random random = new Random(seed);
        PublishedEngines engines = new PublishedEngines(ENGINES, FOLLOWERS + 1, seed);
        PlacementPublisher publisher = new PlacementPublisher();
        Set<SlowFollower> followers = new HashSet<>();
        for (int step = 1; step <= STEPS; step++) {
            if (followers.size() < FOLLOWERS || random.nextInt(40) == 0) {
                SlowFollower added = new SlowFollower();
                followers.add(added);
                publisher.add(added);
            }
            engines.changeAdapter();
            engines.changeRunning();
            followers.forEach(follower -> follower.dropping = random.nextDouble() < dropShare);
            publisher.publish(engines.update(), step * STEP_MS);
            for (SlowFollower follower : followers) {
                if (!follower.dropping) {
                    assertThat(follower.placements()).isEqualTo(byId(engines.update()));
                }
            }
        }
    }

    /** Guards against numbers of calls that are never corrected, and against followers that hear nothing. */
    @ParameterizedTest
    @CsvSource({"1", "2", "3"})
    void numbersOfCallsAreSentWithTheNextHeartbeat(long seed) {
        PublishedEngines engines = new PublishedEngines(ENGINES, 2, seed);
        PlacementPublisher publisher = new PlacementPublisher();
        SlowFollower follower = new SlowFollower();
        publisher.add(follower);
        publisher.publish(engines.update(), 1_000);
        engines.changeRunning();
        assertThat(publisher.publish(engines.update(), 1_299)).isEqualTo(0);
        assertThat(publisher.publish(engines.update(), 1_300)).isGreaterThan(0L);
        assertThat(follower.known.orElseThrow().running())
                .isEqualTo(new HashMap<>(engines.update().running()));
        assertThat(publisher.publish(engines.update(), 1_600)).isGreaterThan(0L);
    }

    /** Guards against frames to all followers in each planning round while models are loaded. */
    @ParameterizedTest
    @CsvSource({"20, false", "500, false", "1100, true", "5000, true"})
    void changedTimesOfLoadsAreSentWithTheNextHeartbeatIfTheyDifferEnough(long byMs, boolean sent) {
        PublishedEngines engines = new PublishedEngines(ENGINES, 2, 1);
        engines.startLoads(11_000);
        PlacementPublisher publisher = new PlacementPublisher();
        SlowFollower follower = new SlowFollower();
        publisher.add(follower);
        // The second follower is the one that is sent everything again in the second interval.
        publisher.add(new SlowFollower());
        follower.nowMs = 1_000;
        publisher.publish(engines.update(), 1_000);
        Map<InstanceId, InstancePlacement> before = follower.placements();
        engines.moveLoads(byMs);
        follower.nowMs = 1_300;
        assertThat(publisher.publish(engines.update(), 1_299)).isEqualTo(0);
        assertThat(publisher.publish(engines.update(), 1_300)).isGreaterThan(0L);
        assertThat(follower.placements().equals(before)).isEqualTo(!sent);
    }

    /** Guards against calls that wait for a model whose load they know of only after a heartbeat. */
    @Test
    void loadOfAModelThatWasNotLoadedAnywhereIsSentAtOnce() {
        PublishedEngines engines = new PublishedEngines(ENGINES, 2, 1);
        PlacementPublisher publisher = new PlacementPublisher();
        SlowFollower follower = new SlowFollower();
        publisher.add(follower);
        publisher.publish(engines.update(), 1_000);
        engines.startNewLoad(11_000);
        follower.nowMs = 1_010;
        assertThat(publisher.publish(engines.update(), 1_010)).isGreaterThan(0L);
        assertThat(follower.placements()).isEqualTo(byId(engines.update()));
    }

    /** Guards against followers that lose the leader because other followers are sent large frames. */
    @ParameterizedTest
    @CsvSource({"300", "1000"})
    void eachFollowerHearsFromTheLeaderEachIntervalHoweverMuchThereIsToSend(int followerCount) {
        PublishedEngines engines = new PublishedEngines(2 * followerCount, followerCount + 1, 1);
        PlacementPublisher publisher = new PlacementPublisher();
        Map<Integer, Long> heardAtMs = new HashMap<>();
        long[] nowMs = {1_000};
        for (int i = 0; i < followerCount; i++) {
            int follower = i;
            publisher.add(frame -> {
                heardAtMs.put(follower, nowMs[0]);
                return true;
            });
        }
        while (nowMs[0] < 4_000) {
            engines.changeAdapter();
            engines.changeRunning();
            publisher.publish(engines.update(), nowMs[0]);
            assertThat(heardAtMs).hasSize(followerCount);
            assertThat(Collections.min(heardAtMs.values())).isGreaterThan(nowMs[0] - 301);
            nowMs[0] += 20;
        }
    }

    /** Guards against instances that a follower keeps for ever after they are gone. */
    @ParameterizedTest
    @CsvSource({"1", "5", "30"})
    void instancesThatAreGoneAreForgottenInTime(int followerCount) {
        PublishedEngines engines = new PublishedEngines(ENGINES, followerCount + 1, 1);
        PlacementPublisher publisher = new PlacementPublisher();
        Set<SlowFollower> followers = new HashSet<>();
        for (int i = 0; i < followerCount; i++) {
            SlowFollower added = new SlowFollower();
            followers.add(added);
            publisher.add(added);
        }
        publisher.publish(engines.update(), 1_000);
        engines.removeEngine();
        for (int i = 1; i <= followerCount; i++) {
            publisher.publish(engines.update(), 1_000 + 300L * i);
        }
        followers.forEach(follower -> assertThat(follower.placements()).isEqualTo(byId(engines.update())));
    }

    private static Map<InstanceId, InstancePlacement> byId(PlacementUpdate update) {
        Map<InstanceId, InstancePlacement> placements = new HashMap<>();
        update.placements().forEach(placement -> placements.put(placement.instance(), placement));
        return placements;
    }
}
