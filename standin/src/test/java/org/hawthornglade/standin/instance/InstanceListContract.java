package org.hawthornglade.standin.instance;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.List;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.instance.InstanceRole;
import org.hawthornglade.core.instance.InstanceState;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.ports.instance.InstanceList;
import org.hawthornglade.standin.fault.FaultCase;
import org.hawthornglade.standin.fault.FaultScript;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that every implementation of the instance list must pass. */
abstract class InstanceListContract {
    static final int LONG_TIMEOUT_MS = 20_000;
    static final int LAG_MS = 5_000;
    static final InstanceInfo ENGINE = instance("drafting-1", InstanceRole.ENGINE, null);
    static final InstanceInfo SERVICE = instance("orders-1", InstanceRole.SERVICE, ServiceName.of("orders"));

    /** Opens a list of {@link #ENGINE} and {@link #SERVICE} with a lag of {@link #LAG_MS}. */
    abstract InstanceList open(FaultScript script, int timeoutMs);

    abstract InMemoryInstanceList standin();

    /** Advances the clock of the stand-in. */
    abstract void advance(long byMs);

    static InstanceInfo instance(String id, InstanceRole role, ServiceName service) {
        return new InstanceInfo(
                InstanceId.of(id),
                role,
                service,
                FailureDomain.of("a"),
                "127.0.0.1",
                8001,
                9001,
                80_000,
                1,
                InstanceState.LIVE);
    }

    @ParameterizedTest
    @MethodSource("org.hawthornglade.standin.fault.FaultCase#withoutDelay")
    void mapsFaultsToResultCodes(FaultCase fault) {
        Either<Failure, List<InstanceInfo>> listed =
                open(fault.script(), fault.timeoutMs()).list();

        assertThat(FaultCase.codeOf(listed)).isEqualTo(fault.read());
    }

    @Test
    void listsAllInstances() {
        assertThat(open(FaultScript.NONE, LONG_TIMEOUT_MS).list().get())
                .containsExactly(ENGINE, SERVICE)
                .inOrder();
    }

    @ParameterizedTest
    @EnumSource
    void showsAStateOnlyAfterTheLag(InstanceState state) {
        InstanceList list = open(FaultScript.NONE, LONG_TIMEOUT_MS);
        assertThat(standin().setState(ENGINE.id(), state)).isTrue();

        advance(LAG_MS - 1);
        assertThat(list.list().get().get(0).state()).isEqualTo(InstanceState.LIVE);
        advance(1);
        assertThat(list.list().get().get(0).state()).isEqualTo(state);
    }

    @Test
    void listsANewInstanceOnlyAfterTheLag() {
        InstanceList list = open(FaultScript.NONE, LONG_TIMEOUT_MS);
        InstanceInfo added = instance("drafting-2", InstanceRole.ENGINE, null);
        standin().put(added);

        assertThat(list.list().get()).doesNotContain(added);
        advance(LAG_MS);
        assertThat(list.list().get()).contains(added);
    }
}
