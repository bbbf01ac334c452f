package org.hawthornglade.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.PromptPartId;
import org.hawthornglade.core.pace.Pacing;
import org.hawthornglade.core.pace.PacingRules;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The choice among engines whose expected times are about equal. */
class PacedChoiceTest {
    private static final long NOW_MS = 1_000;
    private static final List<String> ENGINES = List.of("a", "b", "c", "d");
    private static final Route ROUTE =
            new Route("r", "h.example", "/r/", CallKind.STREAM, 60_000, 800, 500, 60_000, 1, 0, true, List.of());

    private static Fleet fleet() {
        Fleet fleet = new Fleet();
        fleet.onSnapshot(
                ENGINES.stream()
                        .map(id -> Records.ready(id, List.of("m0"), List.of()))
                        .toList(),
                0);
        return fleet;
    }

    private static InstanceId chosen(Fleet fleet, String shared, String own, long seed) {
        Pacing pacing = new Pacing(new PacingRules(false, true, false), () -> 27, new Random(seed));
        FirstTokenSelector selector =
                new FirstTokenSelector(Records.DOMAIN, service -> ReplicaWaitTest.engine(), pacing);
        List<PromptPart> prefix =
                List.of(new PromptPart(PromptPartId.of(shared), 6_300), new PromptPart(PromptPartId.of(own), 2_890));
        ModelDemand demand = new ModelDemand(ModelName.of("m0"), Optional.empty(), 9_190, 60, prefix);
        CallView call = new CallView(Records.SERVICE, ROUTE, Optional.of(demand), NOW_MS, NOW_MS + 60_000);
        Decision decision = selector.select(call, fleet.usable(Records.SERVICE), NOW_MS);
        return ((Decision.Send) decision).endpoint().id();
    }

    /** Entries chose different engines at random for the same shared parts, so that each engine read them anew. */
    @ParameterizedTest
    @CsvSource({"p0", "p1", "p2"})
    void allEntriesChooseTheSameEngineForTheSameSharedParts(String shared) {
        Set<InstanceId> engines = new HashSet<>();
        for (int entry = 0; entry < 20; entry++) {
            engines.add(chosen(fleet(), shared, "own" + entry, entry));
        }
        assertThat(engines).hasSize(1);
    }

    /** All entries see the same figures and must not send all calls to the same engine. */
    @Test
    void differentSharedPartsAreSpreadOverTheEngines() {
        Set<InstanceId> engines = new HashSet<>();
        for (int part = 0; part < 40; part++) {
            engines.add(chosen(fleet(), "p" + part, "own", 1));
        }
        assertThat(engines).hasSize(ENGINES.size());
    }

    /** An engine with a queue was chosen for its prefix although another one would have responded earlier. */
    @Test
    void loadedEngineIsLeft() {
        Fleet fleet = fleet();
        InstanceId preferred = chosen(fleet, "p0", "own", 1);
        fleet.endpoint(preferred).orElseThrow().load().updateOthers(3, NOW_MS);
        assertThat(chosen(fleet, "p0", "own", 1)).isNotEqualTo(preferred);
    }
}
