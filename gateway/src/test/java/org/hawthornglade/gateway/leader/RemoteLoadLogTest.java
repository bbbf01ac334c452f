package org.hawthornglade.gateway.leader;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.hawthornglade.core.fleet.InstanceVersion;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.replica.CopyReason;
import org.hawthornglade.core.replica.OrderAction;
import org.hawthornglade.core.replica.ReplicaOrder;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An operator who looks for the cause of a missing copy finds how many orders had each reason. */
class RemoteLoadLogTest {
    @ParameterizedTest
    @CsvSource({
        "LOAD, ON_NO_DISK, copy_loads_on_no_disk",
        "UNLOAD, SECOND_COPY, copy_evictions_second_copy",
        "LOAD, LAST_COPY_LEAVING, copy_loads_last_copy_leaving",
    })
    void ordersForCopiesAreCountedByTheirReason(OrderAction action, CopyReason reason, String counter) {
        EventLog log =
                new EventLog(() -> 0, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
        GatewayMetrics metrics = new GatewayMetrics();
        metrics.start();
        ReplicaOrder order = new ReplicaOrder(
                InstanceId.of("e1"), action, ModelName.of("m1"), Optional.empty(), new InstanceVersion(1, 0));
        new RemoteLoadLog(log, metrics).onCopyOrder(order, ModelName.of("m2"), reason);
        assertThat(metrics.text()).contains("hawthornglade_" + counter + "_total 1.0");
    }
}
