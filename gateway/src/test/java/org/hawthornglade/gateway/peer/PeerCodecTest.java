package org.hawthornglade.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.limit.PermitRequests;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.limit.LimitStatus;
import org.hawthornglade.core.limit.PermitRequest;
import org.hawthornglade.core.notice.AdvertisedLimit;
import org.hawthornglade.core.replica.LoadLimits;
import org.hawthornglade.protocol.gen.peer.DemandReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the leader tells entries, as bytes and back. */
class PeerCodecTest {
    private static final long NOW_MS = 1_000;

    /** A new leader that knew nothing of the store began anew with too many loads. */
    @Test
    void whatTheLeaderLearnedOfTheStoreReachesTheEntries() {
        PlacementUpdate news = new PlacementUpdate(
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
        PlacementUpdate news = PeerCodec.placement(coded, NOW_MS);
        assertThat(news.loadLimits()).isEmpty();
        assertThat(news.running()).isEqualTo(Map.<InstanceId, Integer>of());
    }

    /** What entries ask for and are dealt must arrive as it was meant, with and without a limit. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.25, 1e6, Double.NaN})
    void limitsAndPermitsArriveAsTheyWereTold(double limit) {
        OptionalDouble perSecond = Double.isNaN(limit) ? OptionalDouble.empty() : OptionalDouble.of(limit);
        AdvertisedLimit word = new AdvertisedLimit(perSecond, 70, 90);
        InstanceId id = InstanceId.of("i-1");
        PermitRequests asks = new PermitRequests(
                100,
                7,
                List.of(
                        new PermitRequest(id, 5, Optional.of(word), 3, 1, 2),
                        new PermitRequest(id, 5, Optional.empty(), 0, 0, 9)));
        DemandUpdate demand = new DemandUpdate("e-1", Map.of(), true, asks);
        assertThat(PeerCodec.demand(PeerCodec.decode(PeerCodec.encode(demand)).getDemand()))
                .isEqualTo(demand);
        LimitUpdate news = new LimitUpdate(8, 110, 100, List.of(new LimitStatus(id, 5, word, 2, 4)));
        assertThat(LimitCodec.limitUpdate(PeerCodec.decode(PeerCodec.encode(news)).getLimits()))
                .isEqualTo(news);
    }

    /** An entry of the version before asks for nothing. */
    @Test
    void aReportWithoutAsksIsTaken() {
        DemandReport report = new DemandReport("e-1", List.of(), false);
        assertThat(PeerCodec.demand(report).permitRequests()).isEqualTo(PermitRequests.NONE);
    }

    private static PlacementUpdate decoded(byte[] frame) {
        return PeerCodec.placement(PeerCodec.decode(frame).getPlacement(), NOW_MS);
    }
}
