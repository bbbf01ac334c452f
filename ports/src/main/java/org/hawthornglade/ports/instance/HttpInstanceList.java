package org.hawthornglade.ports.instance;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.net.URI;
import java.util.List;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.http.PlatformHttpClient;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.ports.http.PlatformUris;

/** Reads the platform's list of instances over HTTP. */
public final class HttpInstanceList implements InstanceList {
    private static final TypeReference<List<InstanceInfo>> LIST = new TypeReference<>() {};

    private final URI base;
    private final PlatformHttpClient http;

    /**
     * Creates a client.
     *
     * @param base the list's address, without {@code /instances}
     * @param http makes the calls; the caller closes it
     */
    public HttpInstanceList(URI base, PlatformHttpClient http) {
        this.base = base;
        this.http = http;
    }

    @Override
    public Either<Failure, List<InstanceInfo>> list() {
        return http.get(PlatformUris.resolve(base, "/instances"))
                .flatMap(reply -> reply.ok()
                        ? PlatformJson.read(reply.body(), LIST, ResultCode.PLATFORM_UNAVAILABLE)
                        : Either.left(Failure.of(
                                ResultCode.PLATFORM_UNAVAILABLE,
                                "the instance list responded with status " + reply.status())));
    }
}
