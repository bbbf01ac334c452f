import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The operator's configuration of a small deployment: one service of model servers with two streaming routes. */
final class Config {
    static final String SERVICE = "models-1";
    static final String HOST_NAME = "desk.example";
    /** Streams that may be resumed. */
    static final String REVIEW = "/review/";
    /** Streams that may not be resumed. */
    static final String CHAT = "/chat/";

    private Config() {}

    static String json(List<String> models, int adapters) {
        List<Object> definitions = new ArrayList<>();
        for (String model : models) {
            definitions.add(Json.map(
                    "name", model, "weightsMb", 70_000.0, "loadS", 6.0, "warmS", 0.6, "diskS", 0.7, "adapters", adapters,
                    "adapterMb", 66.0));
        }
        Map<String, Object> engine = Json.map(
                "slots", 64, "kvTokens", 250_000, "kvTokenBytes", 163_840, "weightsMb", 230_000.0, "adapterSlots", 8,
                "loadsPerS", 2.1, "models", definitions);
        Map<String, Object> service = Json.map(
                "name", SERVICE, "healthCheck", "/health", "maxConns", 360, "protocol", "h1", "tls", false, "engine",
                engine);
        return Json.write(Json.map(
                "version", 3,
                "routes", List.of(route("r-review", REVIEW, true), route("r-chat", CHAT, false)),
                "services", List.of(service),
                "limits",
                        Json.map("maxHeaderBytes", 16_384, "maxBodyBytes", 1_048_576, "headerTimeoutMs", 5_000,
                                "idleTimeoutMs", 10_000)));
    }

    private static Map<String, Object> route(String name, String prefix, boolean resumable) {
        return Json.map(
                "name", name, "host", HOST_NAME, "pathPrefix", prefix, "kind", "streaming", "timeoutMs", 11_000, "goalMs",
                2_500, "priority", 1, "service", SERVICE, "attempts", resumable ? 2 : 1, "sticky", true, "resumable",
                resumable, "gapAimMs", 500);
    }
}
