package org.hawthornglade.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hawthornglade.core.fleet.Fleet;
import org.hawthornglade.core.fleet.InstancePlacement;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.Records;
import org.hawthornglade.core.fleet.ReplicaState;
import org.hawthornglade.core.fleet.ReplicaStatus;
import org.hawthornglade.core.id.AdapterName;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls for an adapter that no endpoint has, while endpoints have its model and others load it from the store. */
class AdapterOfAReadyModelTest {
    private static final long NOW_MS = 10_000;
    private static final long LOAD_MS = 13_200;
    private static final ModelName MODEL = ModelName.of("m0");
    private static final AdapterName ADAPTER = AdapterName.of("a1");

    private final Fleet fleet = new Fleet();

    /** Guards against a load of a further replica for whose end calls for adapters of the ready ones are sent away. */
    @ParameterizedTest
    @CsvSource({"1, 0", "1, 1", "1, 4", "2, 0", "2, 1", "2, 4"})
    void callIsNotRefusedForTheLoadOfAFurtherReplica(int ready, int loading) {
        place(ready, loading);
        assertThat(decide()).isEqualTo(new Decision.Wait("replica"));
    }

    /** Without a replica that is ready, the adapter has to wait for the load of its model. */
    @ParameterizedTest
    @CsvSource({"1", "4"})
    void callIsRefusedForALoadThatEndsTooLateIfNoReplicaIsReady(int loading) {
        place(0, loading);
        assertThat(decide()).isInstanceOf(Decision.Refuse.class);
    }

    private void place(int ready, int loading) {
        List<InstanceRecord> records = new ArrayList<>();
        Map<String, ReplicaState> states = new HashMap<>();
        for (int i = 0; i < ready; i++) {
            states.put("ready-" + i, new ReplicaState(ReplicaStatus.READY, 0, Map.of()));
        }
        for (int i = 0; i < loading; i++) {
            states.put("loading-" + i, new ReplicaState(ReplicaStatus.LOADING, NOW_MS + LOAD_MS, Map.of()));
        }
        states.keySet().forEach(id -> records.add(Records.ready(id, List.of(), List.of())));
        fleet.onSnapshot(records, 0);
        states.forEach(
                (id, state) -> fleet.onPlacement(new InstancePlacement(InstanceId.of(id), 1, Map.of(MODEL, state))));
    }

    private Decision decide() {
        FirstTokenSelector generations = new FirstTokenSelector(Records.DOMAIN, service -> ReplicaWaitTest.engine());
        return new Dispatcher(fleet, new LeastLoadedSelector(Records.DOMAIN), generations).decide(call(), NOW_MS);
    }

    private static CallView call() {
        return ReplicaWaitTest.call(new ModelDemand(MODEL, Optional.of(ADAPTER), 3_000, 50, List.of()), NOW_MS);
    }
}
