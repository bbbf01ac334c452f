package org.hawthornglade.standin.weight;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.net.URI;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.http.HttpReply;
import org.hawthornglade.ports.http.PlatformHttpClient;
import org.hawthornglade.ports.http.PlatformHttpSettings;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.ports.http.PlatformUris;

/** Fetches from a weight store over HTTP; each fetch occupies one thread and one connection until it ends. */
public final class HttpWeightStore implements WeightStore, AutoCloseable {
    private static final TypeReference<FetchResult> RESULT = new TypeReference<>() {};
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int FETCH_TIMEOUT_MS = 1_800_000;
    private static final int MAX_FETCHES = 64;

    private final URI base;
    private final PlatformHttpClient http;
    private final ExecutorService threads = Executors.newCachedThreadPool(action -> {
        Thread thread = new Thread(action, "weight-fetch");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates a client.
     *
     * @param base the store's address, without {@code /weights}
     */
    public HttpWeightStore(URI base) {
        this.base = base;
        this.http = new PlatformHttpClient(
                new PlatformHttpSettings(CONNECT_TIMEOUT_MS, FETCH_TIMEOUT_MS, CONNECT_TIMEOUT_MS, MAX_FETCHES));
    }

    @Override
    public void fetch(FetchRequest request, Consumer<Either<Failure, FetchResult>> done) {
        threads.execute(() -> done.accept(fetch(request)));
    }

    private Either<Failure, FetchResult> fetch(FetchRequest request) {
        return http.post(PlatformUris.resolve(base, "/weights/fetch"), PlatformJson.write(request))
                .mapLeft(HttpWeightStore::withoutEffect)
                .flatMap(HttpWeightStore::result);
    }

    /** A fetch changes nothing at the store, so a lost response counts as an unavailable store. */
    private static Failure withoutEffect(Failure failure) {
        return failure.code() == ResultCode.PLATFORM_OUTCOME_UNKNOWN
                ? Failure.retryAfter(ResultCode.PLATFORM_UNAVAILABLE, failure.message(), failure.retryAfterMs())
                : failure;
    }

    private static Either<Failure, FetchResult> result(HttpReply reply) {
        if (!reply.ok()) {
            return Either.left(Failure.of(
                    ResultCode.PLATFORM_UNAVAILABLE, "the weight store answered with status " + reply.status()));
        }
        return PlatformJson.read(reply.body(), RESULT, ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Override
    public void close() {
        threads.shutdownNow();
        http.close();
    }
}
