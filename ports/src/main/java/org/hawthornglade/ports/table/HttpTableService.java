package org.hawthornglade.ports.table;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.HttpStatus;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.http.HttpReply;
import org.hawthornglade.ports.http.PlatformHttpClient;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.ports.http.PlatformUris;

/** Calls the table service over HTTP. */
public final class HttpTableService implements TableService {
    private static final TypeReference<Row> ROW = new TypeReference<>() {};
    private static final TypeReference<List<Row>> ROWS = new TypeReference<>() {};
    private static final TypeReference<TransactionOutcome> OUTCOME = new TypeReference<>() {};

    private final URI base;
    private final PlatformHttpClient http;

    /**
     * Creates a client.
     *
     * @param base the service's address, without {@code /tables}
     * @param http makes the calls; the caller closes it
     */
    public HttpTableService(URI base, PlatformHttpClient http) {
        this.base = base;
        this.http = http;
    }

    @Override
    public Either<Failure, Optional<Row>> read(String table, String key) {
        URI uri = PlatformUris.resolve(
                base, "/tables/rows/" + PlatformUris.encode(table) + "/" + PlatformUris.encode(key));
        return http.get(uri).flatMap(HttpTableService::row);
    }

    private static Either<Failure, Optional<Row>> row(HttpReply reply) {
        if (reply.status() == HttpStatus.SC_NOT_FOUND) {
            return Either.right(Optional.empty());
        }
        if (!reply.ok()) {
            return Either.left(rejected(reply));
        }
        return PlatformJson.read(reply.body(), ROW, ResultCode.PLATFORM_UNAVAILABLE)
                .map(Optional::of);
    }

    @Override
    public Either<Failure, List<Row>> scan(String table, String keyPrefix) {
        URI uri = PlatformUris.resolve(
                base, "/tables/rows/" + PlatformUris.encode(table) + "?prefix=" + PlatformUris.encode(keyPrefix));
        return http.get(uri)
                .flatMap(reply -> reply.ok()
                        ? PlatformJson.read(reply.body(), ROWS, ResultCode.PLATFORM_UNAVAILABLE)
                        : Either.left(rejected(reply)));
    }

    @Override
    public Either<Failure, TransactionOutcome> transact(Transaction transaction) {
        return http.post(PlatformUris.resolve(base, "/tables/transact"), PlatformJson.write(transaction))
                .flatMap(reply -> reply.ok()
                        ? PlatformJson.read(reply.body(), OUTCOME, ResultCode.PLATFORM_OUTCOME_UNKNOWN)
                        : Either.left(rejected(reply)));
    }

    private static Failure rejected(HttpReply reply) {
        return Failure.of(ResultCode.PLATFORM_REJECTED, "the table service responded with status " + reply.status());
    }
}
