package org.hawthornglade.ports.engine;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.net.URI;
import org.apache.hc.core5.http.HttpStatus;
import org.hawthornglade.core.engine.EngineOrder;
import org.hawthornglade.core.engine.EngineReport;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.http.HttpReply;
import org.hawthornglade.ports.http.PlatformHttpClient;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.ports.http.PlatformUris;

/** Controls one engine over HTTP. */
public final class HttpEngineControl implements EngineControl {
    private static final TypeReference<OrderAcknowledgement> ACKNOWLEDGEMENT = new TypeReference<>() {};
    private static final TypeReference<EngineReport> REPORT = new TypeReference<>() {};
    private static final TypeReference<EngineError> ERROR = new TypeReference<>() {};

    private final URI base;
    private final PlatformHttpClient http;

    /**
     * Creates an engine control.
     *
     * @param base the engine's address, without {@code /engine}
     * @param http the HTTP client that sends the requests; this class does not close it
     */
    public HttpEngineControl(URI base, PlatformHttpClient http) {
        this.base = base;
        this.http = http;
    }

    @Override
    public Either<Failure, OrderAcknowledgement> order(EngineOrder order) {
        return http.post(PlatformUris.resolve(base, "/engine/orders"), PlatformJson.write(order))
                .flatMap(reply -> reply.ok()
                        ? PlatformJson.read(reply.body(), ACKNOWLEDGEMENT, ResultCode.PLATFORM_OUTCOME_UNKNOWN)
                        : Either.left(toFailure(reply)));
    }

    @Override
    public Either<Failure, EngineReport> report() {
        return http.get(PlatformUris.resolve(base, "/engine/report"))
                .flatMap(reply -> reply.ok()
                        ? PlatformJson.read(reply.body(), REPORT, ResultCode.PLATFORM_UNAVAILABLE)
                        : Either.left(toFailure(reply)));
    }

    @Override
    public Either<Failure, Boolean> cancel(String engineRequestId) {
        URI uri = PlatformUris.resolve(base, "/engine/requests/" + PlatformUris.encode(engineRequestId) + "/cancel");
        return http.post(uri, "{}").flatMap(HttpEngineControl::cancelled);
    }

    private static Either<Failure, Boolean> cancelled(HttpReply reply) {
        if (reply.status() == HttpStatus.SC_NOT_FOUND) {
            return Either.right(false);
        }
        return reply.ok() ? Either.right(true) : Either.left(toFailure(reply));
    }

    private static Failure toFailure(HttpReply reply) {
        EngineError error = PlatformJson.read(reply.body(), ERROR)
                .getOrElse(new EngineError(new EngineError.Detail("status " + reply.status(), 0, 0)));
        EngineError.Detail detail = error.error() == null ? new EngineError.Detail("", 0, 0) : error.error();
        ResultCode code = ResultCode.ofNumber(detail.code())
                .filter(HttpEngineControl::isKnownCode)
                .orElse(ResultCode.ENGINE_REFUSED);
        return Failure.retryAfter(
                code, "the engine responded with an error: " + detail.message(), Math.max(0, detail.retryAfterMs()));
    }

    private static boolean isKnownCode(ResultCode code) {
        return code == ResultCode.STALE_FENCING_NUMBER || code == ResultCode.MEMORY_EXHAUSTED;
    }
}
