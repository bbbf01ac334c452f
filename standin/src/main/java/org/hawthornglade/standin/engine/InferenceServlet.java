package org.hawthornglade.standin.engine;

import io.vavr.control.Either;
import jakarta.servlet.AsyncContext;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.http.Connections;

/** Serves the data interface of an engine: OpenAI-compatible requests, and streams resumed at an offset. */
public final class InferenceServlet extends HttpServlet {
    /** The id of a request within the engine's run. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    /** Identifies the engine's run. */
    public static final String BOOT_ID_HEADER = "X-Engine-Boot-Id";

    private static final String CHAT_PATH = "/chat/completions";
    private static final String TEXT_PATH = "/completions";
    private static final String STREAMS_PATH = "/streams/";
    private static final int NOT_FOUND = 404;

    private record OpenAiError(Detail error) {
        private record Detail(String message, String type, String param, String code) {}
    }

    private final transient InMemoryEngine engine;
    private final transient FaultInjector faults;

    /** Creates the data routes of an engine. */
    public InferenceServlet(InMemoryEngine engine, FaultInjector faults) {
        this.engine = engine;
        this.faults = faults;
    }

    @Override
    protected void doPost(HttpServletRequest request, HttpServletResponse response) throws IOException {
        String path = request.getPathInfo();
        if (!CHAT_PATH.equals(path) && !TEXT_PATH.equals(path)) {
            sendError(response, NOT_FOUND, "unknown path", "not_found");
            return;
        }
        String body = new String(request.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        Either<Failure, Generation> started = InferenceRequest.parse(body, CHAT_PATH.equals(path))
                .flatMap(parsed -> engine.inference().start(request.getHeader(REQUEST_ID_HEADER), parsed));
        if (started.isLeft()) {
            sendError(response, started.getLeft());
            return;
        }
        if (Connections.isReplyLost(request)) {
            Connections.abort(request);
            return;
        }
        stream(request, response, started.get(), 0);
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response) throws IOException {
        String path = request.getPathInfo();
        if (path == null || !path.startsWith(STREAMS_PATH)) {
            sendError(response, NOT_FOUND, "unknown path", "not_found");
            return;
        }
        Optional<Generation> generation = engine.inference().find(path.substring(STREAMS_PATH.length()));
        if (generation.isEmpty()) {
            sendError(response, NOT_FOUND, "no such request in this run", "request_not_found");
            return;
        }
        stream(request, response, generation.get(), offset(request));
    }

    private static int offset(HttpServletRequest request) {
        String offset = request.getParameter("offset");
        try {
            return offset == null ? 0 : Math.max(0, Integer.parseInt(offset));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void stream(HttpServletRequest request, HttpServletResponse response, Generation generation, int offset)
            throws IOException {
        response.setContentType(generation.request().stream() ? "text/event-stream" : "application/json");
        response.setHeader(REQUEST_ID_HEADER, generation.id());
        response.setHeader(BOOT_ID_HEADER, Long.toString(engine.state().bootId()));
        AsyncContext context = request.startAsync();
        context.setTimeout(0);
        boolean cutMidStream = generation.request().stream() && faults.nextStreamIsCut();
        new StreamWriter(context, generation, offset, cutMidStream).start();
    }

    private static void sendError(HttpServletResponse response, Failure failure) throws IOException {
        if (failure.code() == ResultCode.MODEL_NOT_LOADED) {
            sendError(response, NOT_FOUND, failure.message(), "model_not_found");
            return;
        }
        sendError(response, failure.code().httpStatus(), failure.message(), "invalid_request");
    }

    private static void sendError(HttpServletResponse response, int status, String message, String code)
            throws IOException {
        OpenAiError error = new OpenAiError(new OpenAiError.Detail(message, "invalid_request_error", null, code));
        Connections.sendJson(response, status, PlatformJson.write(error));
    }
}
