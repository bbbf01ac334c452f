package org.hawthornglade.standin;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.LoadState;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.ports.engine.HttpEngineControl;
import org.hawthornglade.ports.http.PlatformHttpClient;
import org.hawthornglade.ports.http.PlatformHttpSettings;
import org.hawthornglade.ports.table.Condition;
import org.hawthornglade.ports.table.HttpTableService;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.Write;
import org.junit.jupiter.api.Test;

final class StandinsTest {
    private static final String SETTINGS = """
            {
              // one of each
              "servers": [
                {"kind": "table", "name": "table"},
                {"kind": "weights", "name": "weights", "loadsPerSecond": 100, "fetchMbPerSecond": 100000},
                {"kind": "engine", "name": "engine", "memoryMb": 1000, "weightStore": "weights", "betweenTokenMs": 1},
                {"kind": "service", "name": "bookings"}
              ]
            }
            """;
    private static final ModelName GUIDE = ModelName.of("guide");

    private final HttpClient client = HttpClient.newHttpClient();

    @Test
    void tableKeepsRowsWithSlashesInTheirKeys() {
        try (Standins standins = Standins.start(StandinsSettings.parse(SETTINGS));
                PlatformHttpClient http = new PlatformHttpClient(PlatformHttpSettings.defaults())) {
            HttpTableService tables = new HttpTableService(standins.uri("table"), http);
            Transaction insert = new Transaction(
                    List.of(Condition.absent("t", "a/b c%")), List.of(Write.put("t", "a/b c%", "{\"x\":1}")));

            assertThat(tables.transact(insert).get().committed()).isTrue();
            assertThat(tables.transact(insert).get().committed()).isFalse();
            assertThat(tables.read("t", "a/b c%").get()).hasValue(new Row("t", "a/b c%", 1, "{\"x\":1}"));
            assertThat(tables.scan("t", "a/").get()).hasSize(1);
            assertThat(tables.read("t", "b").get()).isEmpty();
        }
    }

    @Test
    void engineLoadsThenStreamsACompleteAnswer() throws Exception {
        try (Standins standins = Standins.start(StandinsSettings.parse(SETTINGS));
                PlatformHttpClient http = new PlatformHttpClient(PlatformHttpSettings.defaults())) {
            HttpEngineControl engine = new HttpEngineControl(standins.uri("engine"), http);
            assertThat(chat(standins, false).statusCode()).isEqualTo(404);

            engine.order(new EngineOrder(EngineOrder.Kind.LOAD, GUIDE, "v1", null, 500, 1))
                    .get();
            while (engine.report().get().models().get(0).state() != LoadState.READY) {
                Thread.onSpinWait();
            }

            assertThat(chat(standins, true).body()).endsWith("data: [DONE]\n\n");
            String complete = chat(standins, false).body();
            assertThat(complete).contains("\"completion_tokens\":3");
            assertThat(complete).containsMatch("\"prompt_tokens\":[1-9].*\"total_tokens\":[4-9]");
            assertThat(standins.replicaCounter().maxReplicas(GUIDE)).isEqualTo(1);
        }
    }

    @Test
    void serviceLogsExecutedCalls() throws Exception {
        try (Standins standins = Standins.start(StandinsSettings.parse(SETTINGS))) {
            HttpRequest request = HttpRequest.newBuilder(URI.create(standins.uri("bookings") + "/bookings/7?x=1"))
                    .header("Idempotency-Key", "k1")
                    .POST(HttpRequest.BodyPublishers.ofString("{}"))
                    .build();

            assertThat(send(request).body()).contains("\"path\":\"/bookings/7?x=1\"");
            assertThat(standins.service("bookings").calls()).hasSize(1);
            assertThat(standins.service("bookings").calls().get(0).idempotencyKey())
                    .isEqualTo("k1");
        }
    }

    private HttpResponse<String> chat(Standins standins, boolean stream) throws IOException, InterruptedException {
        String body = "{\"model\":\"guide\",\"max_tokens\":3,\"stream\":" + stream
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
        return send(HttpRequest.newBuilder(URI.create(standins.uri("engine") + "/v1/chat/completions"))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    }

    private HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
