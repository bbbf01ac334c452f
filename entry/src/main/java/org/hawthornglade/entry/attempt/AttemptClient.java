package org.hawthornglade.entry.attempt;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.URI;
import java.util.HexFormat;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.util.Timeout;
import org.hawthornglade.core.entry.IncomingRequest;
import org.hawthornglade.core.entry.Target;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.entry.control.AgentAddress;
import org.hawthornglade.node.auth.ClusterKeys;
import org.hawthornglade.node.auth.Purposes;
import org.hawthornglade.protocol.frame.AttemptHeaders;
import org.hawthornglade.protocol.frame.FrameReader;

/** Sends attempts to agents. */
public final class AttemptClient {
    private final CloseableHttpClient client;
    private final ClusterKeys keys;
    private final String entryId;

    /**
     * Creates a client.
     *
     * @param client makes the calls and never repeats one; stays the caller's to close
     * @param keys the cluster keys
     * @param entryId who sends
     */
    public AttemptClient(CloseableHttpClient client, ClusterKeys keys, String entryId) {
        this.client = client;
        this.keys = keys;
        this.entryId = entryId;
    }

    /**
     * Sends an attempt and waits for the head of the agent's answer.
     *
     * @param remainingMs what is left of the deadline, in milliseconds; also the longest silence that is accepted
     * @return the answer, to be closed by the caller
     * @throws java.net.ConnectException if no connection was made, so that nothing was sent
     * @throws IOException if the connection failed later, so that the attempt may have been taken
     */
    public AttemptAnswer send(
            AgentAddress agent, AttemptId attempt, IncomingRequest request, OutboundCall call, long remainingMs)
            throws IOException {
        HttpPost post = new HttpPost(
                URI.create("http://" + agent.host() + ":" + agent.httpPort() + "/attempts/" + attempt.value()));
        setHeaders(post, attempt, request, call, remainingMs);
        post.setEntity(new ByteArrayEntity(call.body(), ContentType.APPLICATION_OCTET_STREAM));
        post.setConfig(RequestConfig.custom()
                .setResponseTimeout(Timeout.ofMilliseconds(Math.max(1, remainingMs)))
                .build());
        ClassicHttpResponse response = client.executeOpen(null, post, null);
        if (response.getCode() != HttpStatus.SC_OK) {
            response.close();
            throw new AttemptRejectedException(response.getCode());
        }
        return new AttemptAnswer(
                post, response, new FrameReader(attempt, response.getEntity().getContent()));
    }

    private void setHeaders(
            HttpPost post, AttemptId attempt, IncomingRequest request, OutboundCall call, long remainingMs) {
        post.setHeader(AttemptHeaders.REQUEST, request.id().value());
        post.setHeader(AttemptHeaders.ENTRY, entryId);
        post.setHeader(AttemptHeaders.REMAINING_MS, Long.toString(remainingMs));
        post.setHeader(AttemptHeaders.METHOD, call.method());
        post.setHeader(AttemptHeaders.PATH, call.path());
        if (call.contentType() != null) {
            post.setHeader(AttemptHeaders.CONTENT_TYPE, call.contentType());
        }
        if (request.target() instanceof Target.OnModel onModel) {
            post.setHeader(AttemptHeaders.MODEL, onModel.base().value());
            if (onModel.adapter() != null) {
                post.setHeader(AttemptHeaders.ADAPTER, onModel.adapter().value());
            }
        }
        call.headers()
                .forEach(header -> post.setHeader(AttemptHeaders.PASS_PREFIX + header.getName(), header.getValue()));
        byte[] message = (attempt.value() + ' ' + call.path()).getBytes(UTF_8);
        post.setHeader(AttemptHeaders.PROOF, HexFormat.of().formatHex(keys.prove(Purposes.ATTEMPT, message)));
    }
}
