package org.hawthornglade.entry.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.hawthornglade.node.wire.WireMapper;
import org.hawthornglade.protocol.gen.AgentReport;
import org.hawthornglade.protocol.gen.Replica;
import org.hawthornglade.protocol.gen.ReplicaState;

/** Feeds corrupted reports to the report decoder; a link handles only the exceptions that are caught here. */
final class ControlFuzzTest {
    @Property(seed = "1979", tries = 3_000)
    void aCorruptedReportIsDecodedOrRejected(@ForAll long seed) throws TException {
        Random random = new Random(seed);
        byte[] bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(report());
        int changes = 1 + random.nextInt(6);
        for (int change = 0; change < changes; change++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        AgentReport read = new AgentReport();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(read, bytes);
            assertThat(WireMapper.fromWire(read)).isNotNull();
        } catch (TException | IllegalArgumentException e) {
            assertThat(e).isNotNull();
        }
    }

    private static AgentReport report() {
        Replica replica =
                new Replica("quote", 0, ReplicaState.READY, 1, 4, 0, 700, List.of("quote-ms", "quote-id"), "v1");
        return new AgentReport("engine-1", 1, 2, 3, false, List.of(replica), 1, 4_000, "domain-a", true, "", 0, 1_000);
    }
}
