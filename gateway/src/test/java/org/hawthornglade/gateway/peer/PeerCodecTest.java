package org.hawthornglade.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.limit.LimitStatus;
import org.hawthornglade.core.limit.LimitUpdate;
import org.hawthornglade.core.limit.PermitRequest;
import org.hawthornglade.core.limit.PermitRequests;
import org.hawthornglade.core.notice.AdvertisedLimit;
import org.hawthornglade.core.replica.LoadLimits;
import org.hawthornglade.protocol.gen.peer.DemandReport;
import org.hawthornglade.protocol.gen.peer.PlacementNews;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Encoding and decoding of the messages between entries and the leader. */
class PeerCodecTest {
    private static final long NOW_MS = 1_000;

    /** Guards against a new leader that starts too many loads because it does not know the weight store's limits. */
    @Test
    void learnedLoadLimitsAreDecodedAsEncoded() {
        PlacementUpdate update = new PlacementUpdate(
                7,
                3,
                List.of(),
                Map.of(),
                31,
                Map.of(ServiceName.of("drafts"), new LoadLimits(1, 1), ServiceName.of("notes"), new LoadLimits(4, 6)));
        assertThat(decoded(PeerCodec.encode(update, NOW_MS))).isEqualTo(update);
    }

    /** An entry of the previous version may lead for some time during a rolling update. */
    @Test
    void updateWithoutLoadLimitsIsAccepted() {
        PlacementNews coded = new PlacementNews(7, List.of(), 3, 31);
        PlacementUpdate update = PeerCodec.placement(coded, NOW_MS);
        assertThat(update.loadLimits()).isEmpty();
        assertThat(update.running()).isEqualTo(Map.<InstanceId, Integer>of());
    }

    /** Permit requests and granted permits must be decoded as encoded, with and without a limit. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.25, 1e6, Double.NaN})
    void limitsAndPermitsAreDecodedAsEncoded(double limit) {
        OptionalDouble perSecond = Double.isNaN(limit) ? OptionalDouble.empty() : OptionalDouble.of(limit);
        AdvertisedLimit advertised = new AdvertisedLimit(perSecond, 70, 90);
        InstanceId id = InstanceId.of("i-1");
        PermitRequests requests = new PermitRequests(
                100,
                7,
                List.of(
                        new PermitRequest(id, 5, Optional.of(advertised), 3, 1, 2),
                        new PermitRequest(id, 5, Optional.empty(), 0, 0, 9)));
        DemandUpdate demand = new DemandUpdate("e-1", Map.of(), true, requests);
        assertThat(PeerCodec.demand(PeerCodec.decode(PeerCodec.encode(demand)).getDemand()))
                .isEqualTo(demand);
        LimitUpdate update = new LimitUpdate(8, 110, 100, List.of(new LimitStatus(id, 5, advertised, 2, 4)));
        assertThat(LimitCodec.limitUpdate(
                        PeerCodec.decode(PeerCodec.encode(update)).getLimits()))
                .isEqualTo(update);
    }

    /** Entries of the previous version send no permit requests. */
    @Test
    void reportWithoutPermitRequestsIsAccepted() {
        DemandReport report = new DemandReport("e-1", List.of(), false);
        assertThat(PeerCodec.demand(report).permitRequests()).isEqualTo(PermitRequests.NONE);
    }

    private static PlacementUpdate decoded(byte[] frame) {
        return PeerCodec.placement(PeerCodec.decode(frame).getPlacement(), NOW_MS);
    }
}
