package org.hawthornglade.app.load;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.ports.http.HttpReply;
import org.hawthornglade.ports.http.PlatformHttpClient;
import org.hawthornglade.ports.http.PlatformHttpSettings;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.ports.http.PlatformUris;
import org.hawthornglade.standin.service.ExecutedCall;

/** Compares the responses that callers received with the calls that plain service stand-ins executed. */
final class ExecutionCheck {
    private static final TypeReference<List<ExecutedCall>> CALLS = new TypeReference<>() {};

    private ExecutionCheck() {}

    /** Reads the execution logs of the services and compares them with the outcomes reported to callers. */
    static ExecutionReport run(List<URI> services, String runId, KeyOutcomes reported) throws IOException {
        Map<String, Integer> runs = new HashMap<>();
        try (PlatformHttpClient http = new PlatformHttpClient(PlatformHttpSettings.defaults())) {
            for (URI service : services) {
                fetchCalls(http, service).forEach(call -> count(runs, runId, call));
            }
        }
        return compare(runs, reported);
    }

    private static List<ExecutedCall> fetchCalls(PlatformHttpClient http, URI service) throws IOException {
        Either<Failure, HttpReply> reply = http.get(PlatformUris.resolve(service, "/executions"));
        Either<Failure, List<ExecutedCall>> calls = reply.flatMap(log -> PlatformJson.read(log.body(), CALLS));
        if (calls.isLeft()) {
            throw new IOException("cannot read the executions of " + service + ": "
                    + calls.getLeft().message());
        }
        return calls.get();
    }

    private static void count(Map<String, Integer> runs, String runId, ExecutedCall call) {
        if (call.idempotencyKey() != null && call.idempotencyKey().startsWith(runId)) {
            runs.merge(call.idempotencyKey(), 1, Integer::sum);
        }
    }

    /** Compares the number of executions of each idempotency key with the outcome reported to its caller. */
    static ExecutionReport compare(Map<String, Integer> runs, KeyOutcomes reported) {
        return new ExecutionReport(
                runs.values().stream().mapToInt(i -> i).sum(),
                (int) runs.values().stream().filter(times -> times > 1).count(),
                (int) reported.notRun().stream().filter(runs::containsKey).count(),
                (int) reported.answered().stream()
                        .filter(key -> !runs.containsKey(key))
                        .count());
    }
}
