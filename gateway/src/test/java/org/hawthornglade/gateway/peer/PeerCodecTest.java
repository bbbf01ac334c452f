package org.hawthornglade.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.replica.LoadLimits;
import org.junit.jupiter.api.Test;

/** What the leader tells entries, as bytes and back. */
class PeerCodecTest {
    private static final long NOW_MS = 1_000;

    /** A new leader that knew nothing of the store began anew with too many loads. */
    @Test
    void whatTheLeaderLearnedOfTheStoreReachesTheEntries() {
        PlacementNews news = new PlacementNews(
                7,
                3,
                List.of(),
                Map.of(),
                31,
                Map.of(ServiceName.of("drafts"), new LoadLimits(1, 1), ServiceName.of("notes"), new LoadLimits(4, 6)));
        assertThat(decoded(PeerCodec.encode(news, NOW_MS))).isEqualTo(news);
    }

    /** An entry of the version before leads for a while during an update. */
    @Test
    void newsWithoutLimitsAreTaken() {
        org.hawthornglade.protocol.gen.peer.PlacementNews coded =
                new org.hawthornglade.protocol.gen.peer.PlacementNews(7, List.of(), 3, 31);
        PlacementNews news = PeerCodec.placement(coded, NOW_MS);
        assertThat(news.loadLimits()).isEmpty();
        assertThat(news.running()).isEqualTo(Map.<InstanceId, Integer>of());
    }

    private static PlacementNews decoded(byte[] frame) {
        return PeerCodec.placement(PeerCodec.decode(frame).getPlacement(), NOW_MS);
    }
}
