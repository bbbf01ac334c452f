package org.hawthornglade.bench.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.hawthornglade.core.admission.AdmissionWeights;
import org.hawthornglade.core.admission.DeadlineAdmissionQueue;
import org.hawthornglade.core.admission.ServiceEstimate;
import org.hawthornglade.core.admission.WaitingRequest;
import org.hawthornglade.core.config.AdapterSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationJson;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.protocol.gen.AgentReport;
import org.hawthornglade.protocol.gen.Demand;
import org.hawthornglade.protocol.gen.EntryReport;
import org.hawthornglade.protocol.gen.Replica;
import org.hawthornglade.protocol.gen.ReplicaState;

/** Prints the sizes of control messages, configurations and waiting requests, and the slope of each. */
public final class SizeTable {
    private static final int[] MODELS = {0, 1, 4, 16, 64, 92};
    private static final int[] WAITING = {10_000, 50_000, 100_000};
    private static final long DEADLINE_MS = 60_000;

    private SizeTable() {}

    /** Prints the table. */
    public static void main(String[] arguments) throws TException {
        print(System.out);
    }

    private static void print(PrintStream out) throws TException {
        out.println("models,agentReportBytes,entryReportBytes,configurationJsonBytes");
        for (int models : MODELS) {
            out.println(models + "," + size(agentReport(models)) + "," + size(entryReport(models)) + ","
                    + ConfigurationJson.write(configuration(models, models * 11))
                            .length());
        }
        out.println("waitingRequests,heapBytesEach");
        for (int waiting : WAITING) {
            out.println(waiting + "," + heapBytesOfQueue(waiting) / waiting);
        }
    }

    private static int size(TBase<?, ?> message) throws TException {
        return new TSerializer(new TCompactProtocol.Factory()).serialize(message).length;
    }

    private static AgentReport agentReport(int models) {
        AgentReport report = new AgentReport();
        report.setInstanceId("instance-00001");
        report.setFailureDomain("domain-01");
        report.setServiceName("");
        List<Replica> replicas = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            Replica replica = new Replica();
            replica.setModel("model-%05d".formatted(i));
            replica.setState(ReplicaState.READY);
            replica.setVersion("1");
            replica.setAdapters(List.of("adapter-%05d".formatted(i)));
            replicas.add(replica);
        }
        report.setReplicas(replicas);
        setNumbers(report);
        return report;
    }

    // Sets all required numbers, as Thrift checks that they are set, whatever their value.
    private static void setNumbers(AgentReport report) {
        report.setBootId(1);
        report.setRevision(1);
        report.setConfigVersion(1);
        report.setDraining(false);
        report.setRunning(0);
        report.setFreeMemoryMb(0);
        report.setEngineReachable(true);
        report.setServiceMaxConcurrent(0);
        report.setConfigAppliedAtMs(1);
        for (Replica replica : report.getReplicas()) {
            replica.setOrdinal(0);
            replica.setRunning(0);
            replica.setMaxConcurrent(8);
            replica.setReadyInMs(0);
            replica.setLoadEstimateMs(0);
        }
    }

    private static EntryReport entryReport(int models) {
        List<Demand> demands = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            demands.add(
                    new Demand("model-%05d".formatted(i), 1, 1, 1, 1, 1, List.of("adapter-%05d".formatted(i)), 1, 1));
        }
        return new EntryReport("entry-00001", 1, 1, 1, demands, 1, 1, false);
    }

    private static Configuration configuration(int models, int adapters) {
        List<ModelSpec> modelSpecs = new ArrayList<>();
        List<AdapterSpec> adapterSpecs = new ArrayList<>();
        List<OrganisationId> organisations = List.of(OrganisationId.of("organisation-001"));
        for (int i = 0; i < models; i++) {
            modelSpecs.add(new ModelSpec(
                    ModelName.of("model-%05d".formatted(i)),
                    "1",
                    60_000,
                    20_000,
                    1,
                    2,
                    8,
                    organisations,
                    ServiceClass.of("standard")));
        }
        for (int i = 0; i < adapters; i++) {
            adapterSpecs.add(new AdapterSpec(
                    ModelName.of("adapter-%05d".formatted(i)),
                    ModelName.of("model-%05d".formatted(i % Math.max(1, models))),
                    "1",
                    200,
                    organisations));
        }
        return new Configuration(1, "office", "plan", 1, null, null, modelSpecs, adapterSpecs, null, null);
    }

    private static long heapBytesOfQueue(int waiting) {
        DeadlineAdmissionQueue queue = new DeadlineAdmissionQueue(AdmissionWeights.of(Configuration.empty()));
        ServiceEstimate estimate = new ServiceEstimate(0, 1, 1_000_000, 0);
        long beforeBytes = usedBytes();
        for (int i = 0; i < waiting; i++) {
            WaitingRequest request = new WaitingRequest(
                    RequestId.of("request-" + i),
                    ModelName.of("model-" + i % 92),
                    null,
                    // Each class gets 500 requests, as the queue of a class with unknown limits holds a thousand.
                    ServiceClass.of("class-" + i / 500),
                    OrganisationId.of("organisation"),
                    0,
                    DEADLINE_MS);
            queue.offer(request, estimate, 0);
        }
        long afterBytes = usedBytes();
        if (queue.size(ModelName.of("model-0")) == 0) {
            throw new IllegalStateException("the queue is empty");
        }
        return afterBytes - beforeBytes;
    }

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
