package org.hawthornglade.entry.attempt;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.UnknownHostException;
import java.util.HexFormat;
import java.util.Optional;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.util.Timeout;
import org.hawthornglade.core.entry.Target;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.entry.control.AgentAddress;
import org.hawthornglade.entry.control.AgentLinks;
import org.hawthornglade.node.auth.ClusterKeys;
import org.hawthornglade.node.auth.ProofPurposes;
import org.hawthornglade.protocol.frame.AttemptHeaders;
import org.hawthornglade.protocol.frame.FrameReader;
import org.hawthornglade.protocol.gen.CancelOutcome;

/** Sends attempts to agents over HTTP, and cancels them over the control links. */
public final class AttemptClient implements AttemptTransport {
    private static final long POOL_TIMEOUT_MS = 500;

    private final CloseableHttpClient client;
    private final AgentLinks links;
    private final ClusterKeys keys;
    private final String entryId;
    private final long silenceTimeoutMs;

    /**
     * Creates a client.
     *
     * @param client the HTTP client, which must not retry calls; the caller of this constructor closes it
     * @param links provides the addresses of agents
     * @param keys the cluster keys
     * @param entryId the id of the sending entry
     * @param silenceTimeoutMs the time without data after which a response fails, in milliseconds
     */
    public AttemptClient(
            CloseableHttpClient client, AgentLinks links, ClusterKeys keys, String entryId, long silenceTimeoutMs) {
        this.client = client;
        this.links = links;
        this.keys = keys;
        this.entryId = entryId;
        this.silenceTimeoutMs = silenceTimeoutMs;
    }

    @Override
    public AttemptResponse send(InstanceId instance, AttemptId attempt, CallerRequest request, long remainingMs)
            throws IOException {
        AgentAddress agent = links.address(instance)
                .orElseThrow(() -> new AttemptNotSentException("the agent of the endpoint is no longer listed"));
        HttpPost post = buildPost(agent, attempt, request, remainingMs);
        ClassicHttpResponse response = open(post);
        int status = response.getCode();
        if (status != HttpStatus.SC_OK) {
            response.close();
            if (status >= HttpStatus.SC_INTERNAL_SERVER_ERROR) {
                throw new IOException("the agent responded with HTTP status " + status);
            }
            throw new AttemptNotSentException("the agent rejected the attempt with HTTP status " + status);
        }
        FrameReader reader = new FrameReader(attempt, response.getEntity().getContent());
        return new AttemptResponse(reader, post::cancel, response);
    }

    @Override
    public Optional<CancelOutcome> cancel(InstanceId instance, AttemptId attempt) {
        return links.cancel(instance, attempt).toJavaOptional();
    }

    private ClassicHttpResponse open(HttpPost post) throws IOException {
        try {
            return client.executeOpen(null, post, null);
        } catch (ConnectException
                | ConnectTimeoutException
                | ConnectionRequestTimeoutException
                | NoRouteToHostException
                | UnknownHostException e) {
            throw new AttemptNotSentException(String.valueOf(e.getMessage()));
        }
    }

    private HttpPost buildPost(AgentAddress agent, AttemptId attempt, CallerRequest request, long remainingMs) {
        HttpPost post = new HttpPost(
                URI.create("http://" + agent.host() + ":" + agent.httpPort() + "/attempts/" + attempt.value()));
        setHeaders(post, attempt, request, remainingMs);
        post.setEntity(new ByteArrayEntity(request.call().body(), ContentType.APPLICATION_OCTET_STREAM));
        post.setConfig(RequestConfig.custom()
                .setConnectionRequestTimeout(Timeout.ofMilliseconds(POOL_TIMEOUT_MS))
                .setResponseTimeout(Timeout.ofMilliseconds(Math.min(silenceTimeoutMs, remainingMs)))
                .build());
        return post;
    }

    private void setHeaders(HttpPost post, AttemptId attempt, CallerRequest request, long remainingMs) {
        OutboundCall call = request.call();
        post.setHeader(AttemptHeaders.REQUEST, request.request().id().value());
        post.setHeader(AttemptHeaders.ENTRY, entryId);
        post.setHeader(AttemptHeaders.REMAINING_MS, Long.toString(remainingMs));
        post.setHeader(AttemptHeaders.METHOD, call.method());
        post.setHeader(AttemptHeaders.PATH, call.path());
        if (call.contentType() != null) {
            post.setHeader(AttemptHeaders.CONTENT_TYPE, call.contentType());
        }
        if (request.request().target() instanceof Target.OnModel onModel) {
            post.setHeader(AttemptHeaders.MODEL, onModel.base().value());
            if (onModel.adapter() != null) {
                post.setHeader(AttemptHeaders.ADAPTER, onModel.adapter().value());
            }
        }
        call.headers()
                .forEach(header -> post.setHeader(AttemptHeaders.PASS_PREFIX + header.getName(), header.getValue()));
        byte[] message = (attempt.value() + ' ' + call.path()).getBytes(UTF_8);
        post.setHeader(AttemptHeaders.PROOF, HexFormat.of().formatHex(keys.prove(ProofPurposes.ATTEMPT, message)));
    }
}
