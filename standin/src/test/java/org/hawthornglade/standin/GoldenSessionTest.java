package org.hawthornglade.standin;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hawthornglade.standin.time.ManualTimers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays the HTTP sessions in {@code src/test/resources/golden} and compares every response.
 *
 * <p>A session is a text file: {@code #} comments, {@code @ settings} and {@code @ advance MS} directives,
 * {@code >} lines of a request (method and path, headers, body), {@code <} lines of its response. Run with
 * {@code -Dgolden.update=true} to rewrite the responses; review the diff afterwards.
 */
final class GoldenSessionTest {
    private static final Path DIRECTORY = Path.of("src/test/resources/golden");
    private static final String ADVANCE = "@ advance ";
    private static final String SETTINGS = "@ settings ";
    private static final long START_MS = 1_000;
    private static final List<String> SHOWN_HEADERS =
            List.of("content-type", "retry-after", "x-retry-after-ms", "x-request-id", "x-engine-boot-id");

    private final ManualTimers timers = new ManualTimers(START_MS);

    @ParameterizedTest
    @ValueSource(strings = {"table", "instances", "weights", "engine", "engine-faults", "service"})
    void answersAsRecorded(String session) throws IOException {
        Path file = DIRECTORY.resolve(session + ".session");
        List<String> recorded = Files.readAllLines(file);

        List<String> replayed = replay(recorded);

        if (Boolean.getBoolean("golden.update")) {
            Files.write(file, replayed);
        }
        assertWithMessage(session).that(String.join("\n", replayed)).isEqualTo(String.join("\n", recorded));
    }

    private List<String> replay(List<String> recorded) {
        String settings = recorded.stream()
                .filter(line -> line.startsWith(SETTINGS))
                .findFirst()
                .orElseThrow();
        List<String> replayed = new ArrayList<>();
        try (Standins standins =
                Standins.start(StandinsSettings.parse(settings.substring(SETTINGS.length())), timers)) {
            List<String> request = new ArrayList<>();
            for (String line : recorded) {
                if (line.startsWith(">")) {
                    request.add(line.substring(1).trim());
                } else if (!request.isEmpty()) {
                    replayed.addAll(answer(standins, request));
                    request.clear();
                }
                if (line.startsWith(ADVANCE)) {
                    timers.advance(Long.parseLong(line.substring(ADVANCE.length())));
                }
                if (!line.startsWith("<")) {
                    replayed.add(line);
                }
            }
            if (!request.isEmpty()) {
                replayed.addAll(answer(standins, request));
            }
        }
        return replayed;
    }

    private List<String> answer(Standins standins, List<String> lines) {
        CompletableFuture<HttpResponse<String>> answer = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .build()
                .sendAsync(request(standins, lines), HttpResponse.BodyHandlers.ofString());
        Eventually.eventually("the answer to " + lines, () -> {
            timers.advance(0);
            return answer.isDone();
        });
        if (answer.isCompletedExceptionally()) {
            return List.of("< connection closed without a whole answer");
        }
        return shown(answer.join());
    }

    private static HttpRequest request(Standins standins, List<String> lines) {
        String[] first = lines.get(0).split(" ", 2);
        String name = standins.names().get(standins.names().size() - 1);
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(standins.uri(name) + first[1]));
        Optional<String> body =
                lines.stream().skip(1).filter(line -> line.startsWith("{")).findFirst();
        body.ifPresent(json -> request.header("Content-Type", "application/json"));
        lines.stream().skip(1).filter(line -> !line.startsWith("{")).forEach(line -> {
            String[] header = line.split(": ", 2);
            request.header(header[0], header[1]);
        });
        return request.method(
                        first[0],
                        body.map(HttpRequest.BodyPublishers::ofString).orElseGet(HttpRequest.BodyPublishers::noBody))
                .build();
    }

    private static List<String> shown(HttpResponse<String> answer) {
        List<String> lines = new ArrayList<>();
        lines.add("< " + answer.statusCode());
        for (String name : SHOWN_HEADERS) {
            answer.headers().firstValue(name).ifPresent(value -> lines.add("< " + name + ": " + value));
        }
        answer.body().lines().filter(line -> !line.isEmpty()).forEach(line -> lines.add("< " + line));
        return lines;
    }
}
