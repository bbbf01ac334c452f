package org.hawthornglade.agent.attempt;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.StreamingOutput;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.hawthornglade.core.agent.AttemptRequest;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.node.auth.ClusterKeys;
import org.hawthornglade.node.auth.ProofPurposes;
import org.hawthornglade.protocol.frame.AttemptHeaders;
import org.hawthornglade.protocol.frame.FrameWriter;
import org.hawthornglade.protocol.gen.Header;

/** Accepts attempts from entries and answers them with frames. */
@Path("/attempts")
public final class AttemptsResource {
    private final AttemptRegistry attempts;
    private final EndpointClient endpoint;
    private final ClusterKeys keys;
    private final Clock clock;
    private final int maxBodyBytes;

    /** Creates the resource. */
    public AttemptsResource(
            AttemptRegistry attempts, EndpointClient endpoint, ClusterKeys keys, Clock clock, int maxBodyBytes) {
        this.attempts = attempts;
        this.endpoint = endpoint;
        this.keys = keys;
        this.clock = clock;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Runs an attempt, or answers with the reason why it is not started. */
    @POST
    @Path("/{attempt}")
    @Consumes(MediaType.WILDCARD)
    @Produces(AttemptHeaders.FRAMES_TYPE)
    public Response run(@PathParam("attempt") String attemptText, @Context HttpHeaders headers, InputStream in)
            throws IOException, InterruptedException {
        String path = headers.getHeaderString(AttemptHeaders.PATH);
        if (!authenticated(attemptText, path, headers.getHeaderString(AttemptHeaders.PROOF))) {
            return Response.status(Response.Status.UNAUTHORIZED).build();
        }
        byte[] body = in.readNBytes(maxBodyBytes + 1);
        if (body.length > maxBodyBytes) {
            return Response.status(Response.Status.REQUEST_ENTITY_TOO_LARGE).build();
        }
        AttemptRequest attempt;
        try {
            attempt = read(attemptText, headers);
        } catch (IllegalArgumentException e) {
            return Response.status(Response.Status.BAD_REQUEST).build();
        }
        EndpointCall call = call(headers, path, body);
        Optional<Failure> refusal = attempts.requestStart(attempt);
        if (refusal.isPresent()) {
            return frames(out -> new FrameWriter(attempt.id(), out).refused(refusal.get()));
        }
        return frames(stream(attempt, call));
    }

    private StreamingOutput stream(AttemptRequest attempt, EndpointCall call) {
        return out -> {
            long remainingMs = attempt.deadlineAtMs() - clock.nowMs();
            HttpUriRequestBase request = endpoint.prepare(attempt.id(), call, remainingMs);
            attempts.onCallPrepared(attempt.id(), request::cancel);
            try {
                endpoint.run(request, attempt.id(), out);
            } finally {
                attempts.onEnded(attempt.id());
            }
        };
    }

    private boolean authenticated(String attempt, String path, String proof) {
        if (path == null || proof == null) {
            return false;
        }
        try {
            byte[] message = (attempt + ' ' + path).getBytes(UTF_8);
            return keys.verify(ProofPurposes.ATTEMPT, message, HexFormat.of().parseHex(proof));
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private AttemptRequest read(String attempt, HttpHeaders headers) {
        String model = headers.getHeaderString(AttemptHeaders.MODEL);
        String adapter = headers.getHeaderString(AttemptHeaders.ADAPTER);
        long remainingMs = Long.parseLong(String.valueOf(headers.getHeaderString(AttemptHeaders.REMAINING_MS)));
        return new AttemptRequest(
                AttemptId.of(attempt),
                RequestId.of(headers.getHeaderString(AttemptHeaders.REQUEST)),
                headers.getHeaderString(AttemptHeaders.ENTRY),
                model == null ? null : ModelName.of(model),
                adapter == null ? null : ModelName.of(adapter),
                clock.nowMs() + remainingMs);
    }

    private static EndpointCall call(HttpHeaders headers, String path, byte[] body) {
        List<Header> forwarded = new ArrayList<>();
        String prefix = AttemptHeaders.PASS_PREFIX.toLowerCase(Locale.ROOT);
        for (Map.Entry<String, List<String>> header :
                headers.getRequestHeaders().entrySet()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (name.startsWith(prefix)) {
                forwarded.add(new Header(
                        name.substring(prefix.length()), header.getValue().get(0)));
            }
        }
        return new EndpointCall(
                headers.getHeaderString(AttemptHeaders.METHOD),
                path,
                headers.getHeaderString(AttemptHeaders.CONTENT_TYPE),
                forwarded,
                body);
    }

    private static Response frames(StreamingOutput output) {
        return Response.ok(output, AttemptHeaders.FRAMES_TYPE).build();
    }
}
