package org.hawthornglade.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.junit.jupiter.api.Test;

/** Choice among endpoints by load, affinity and packing, with reports that lag behind. */
class EndpointChooserTest {
    private static final int SLOTS = 8;
    private static final FailureDomain OWN_DOMAIN = FailureDomain.of("d0");
    private static final RouteQuery PLAIN = new RouteQuery(OWN_DOMAIN, null, 0);

    private final EndpointChooser spread = new AffinityChooser(0.25);
    private final SplittableRandom random = new SplittableRandom(1);

    private static EndpointView endpoint(int index, int own, int reported, boolean adapter) {
        return new EndpointView(
                InstanceId.of("i" + index),
                FailureDomain.of("d" + index % 2),
                own,
                Math.min(own, reported),
                reported,
                SLOTS,
                adapter);
    }

    @Property(tries = 200, seed = "20261201")
    void everyChooserChoosesAnEndpointWithAFreeSlotIfThereIsOne(@ForAll long seed) {
        SplittableRandom any = new SplittableRandom(seed);
        List<EndpointView> endpoints = new ArrayList<>();
        for (int i = 0; i < 1 + any.nextInt(6); i++) {
            endpoints.add(endpoint(i, any.nextInt(SLOTS + 2), any.nextInt(SLOTS + 2), any.nextBoolean()));
        }
        RouteQuery query = new RouteQuery(OWN_DOMAIN, any.nextBoolean() ? ModelName.of("a") : null, any.nextInt(3));
        boolean free = endpoints.stream().anyMatch(EndpointView::hasFreeSlot);
        for (EndpointChooser chooser : List.of(spread, new AffinityChooser(0.25, 0.5), new RandomChooser())) {
            Optional<EndpointView> chosen = chooser.choose(query, endpoints, any);
            assertThat(chosen.isPresent()).isEqualTo(free);
            chosen.ifPresent(endpoint -> assertThat(endpoint.hasFreeSlot()).isTrue());
        }
    }

    @Test
    void ownRequestsCountBeforeAReportContainsThem() {
        EndpointView sentTo = new EndpointView(InstanceId.of("i0"), OWN_DOMAIN, 6, 0, 0, SLOTS, false);

        assertThat(sentTo.expectedRunning()).isEqualTo(6);
        assertThat(spread.choose(PLAIN, List.of(sentTo, endpoint(1, 0, 1, false)), random)
                        .orElseThrow()
                        .instance()
                        .value())
                .isEqualTo("i1");
    }

    @Test
    void aPrefixKeepsItsEndpointUntilThatIsTooBusy() {
        RouteQuery query = new RouteQuery(OWN_DOMAIN, null, 42);
        List<EndpointView> idle = List.of(endpoint(0, 0, 0, false), endpoint(1, 0, 0, false), endpoint(2, 0, 0, false));
        EndpointView preferred = spread.choose(query, idle, random).orElseThrow();
        for (int i = 0; i < 20; i++) {
            assertThat(spread.choose(query, idle, random)).hasValue(preferred);
        }
        List<EndpointView> uneven = idle.stream()
                .map(endpoint -> endpoint.equals(preferred)
                        ? new EndpointView(endpoint.instance(), endpoint.domain(), 4, 0, 0, SLOTS, false)
                        : endpoint)
                .toList();

        assertThat(spread.choose(query, uneven, random).orElseThrow().instance())
                .isNotEqualTo(preferred.instance());
    }

    @Test
    void anEndpointWithTheAdapterIsPreferred() {
        RouteQuery query = new RouteQuery(OWN_DOMAIN, ModelName.of("a"), 0);
        List<EndpointView> endpoints =
                List.of(endpoint(0, 0, 0, false), endpoint(1, 1, 1, true), endpoint(2, 0, 0, false));

        assertThat(spread.choose(query, endpoints, random)).hasValue(endpoints.get(1));
    }

    @Test
    void packingLeavesAnEndpointIdleWhileAnotherHasRoom() {
        EndpointChooser pack = new AffinityChooser(0.25, 0.5);

        for (int running = 0; running < SLOTS / 2; running++) {
            List<EndpointView> endpoints = List.of(endpoint(1, 0, 0, false), endpoint(0, running, running, false));
            assertThat(pack.choose(PLAIN, endpoints, random)).hasValue(endpoints.get(1));
        }
    }
}
