package org.hawthornglade.agent.control;

import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.List;
import org.hawthornglade.core.agent.AgentEvent;
import org.hawthornglade.core.agent.CancelResult;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.config.ConfigurationJson;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.report.ModelDemand;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.node.auth.ClusterKeys;
import org.hawthornglade.node.auth.ProofPurposes;
import org.hawthornglade.node.wire.WireMapper;
import org.hawthornglade.protocol.gen.AgentControl;
import org.hawthornglade.protocol.gen.AgentReport;
import org.hawthornglade.protocol.gen.CancelAnswer;
import org.hawthornglade.protocol.gen.CancelOutcome;
import org.hawthornglade.protocol.gen.Challenge;
import org.hawthornglade.protocol.gen.ConfigurationSnapshot;
import org.hawthornglade.protocol.gen.ControlFailure;
import org.hawthornglade.protocol.gen.EntryReport;
import org.hawthornglade.protocol.gen.Event;

/** Serves one control connection; rejects all calls but the handshake until the entry has proved the cluster key. */
final class ControlSession implements AgentControl.Iface {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int NONCE_BYTES = 32;
    private static final int MIN_NONCE_BYTES = 16;
    private static final long MAX_WAIT_MS = 2_000;
    private static final int MAX_EVENTS = 10_000;

    private final ControlContext context;
    private byte[] nonce;
    private boolean authenticated;

    ControlSession(ControlContext context) {
        this.context = context;
    }

    @Override
    public Challenge hello(String entryId, ByteBuffer entryNonce) throws ControlFailure {
        byte[] peerNonce = bytes(entryNonce);
        if (peerNonce.length < MIN_NONCE_BYTES) {
            throw failure(Failure.of(ResultCode.PEER_NOT_AUTHENTICATED, "the entry's nonce is too short"));
        }
        nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        byte[] proof = context.keys().prove(ProofPurposes.AGENT_HELLO, peerNonce);
        return new Challenge(
                ByteBuffer.wrap(nonce),
                ByteBuffer.wrap(proof),
                context.instance().value());
    }

    @Override
    public void prove(ByteBuffer proof) throws ControlFailure {
        ClusterKeys keys = context.keys();
        if (nonce == null || !keys.verify(ProofPurposes.ENTRY_HELLO, nonce, bytes(proof))) {
            throw failure(Failure.of(
                    ResultCode.PEER_NOT_AUTHENTICATED, "the entry's proof of the cluster key does not match"));
        }
        nonce = null;
        authenticated = true;
    }

    @Override
    public AgentReport exchange(EntryReport report) throws ControlFailure {
        requireAuthenticated();
        List<ModelDemand> demand = readDemand(report);
        context.events()
                .submit(new AgentEvent.DemandReported(
                        report.getEntryId(), report.getBootId(), report.getSequence(), demand));
        try {
            long waitMs = Math.min(MAX_WAIT_MS, Math.max(0, report.getWaitMs()));
            AgentView view = context.views().awaitNewer(report.getSeenRevision(), waitMs);
            if (view == null) {
                throw failure(Failure.retryAfter(ResultCode.NOT_READY, "the agent has just started", 100));
            }
            return WireMapper.toWire(view, context.configuration().current().confirmedAtMs());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw failure(Failure.retryAfter(ResultCode.STOPPING, "the agent is stopping", 1_000));
        }
    }

    @Override
    public CancelAnswer cancel(String attemptId) throws ControlFailure {
        requireAuthenticated();
        CancelResult result;
        try {
            result = context.attempts().cancel(AttemptId.of(attemptId));
        } catch (IllegalArgumentException e) {
            throw failure(Failure.of(ResultCode.BAD_REQUEST, e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw failure(Failure.retryAfter(ResultCode.STOPPING, "the agent is stopping", 1_000));
        }
        return new CancelAnswer(CancelOutcome.valueOf(result.name()));
    }

    @Override
    public ConfigurationSnapshot fetchConfiguration() throws ControlFailure {
        requireAuthenticated();
        Configuration current = context.configuration().current();
        return new ConfigurationSnapshot(current.version(), ConfigurationJson.write(current));
    }

    @Override
    public long offerConfiguration(ConfigurationSnapshot snapshot) throws ControlFailure {
        requireAuthenticated();
        ConfigurationHolder holder = context.configuration();
        if (snapshot.getVersion() > holder.current().version()) {
            holder.offer(ConfigurationJson.read(snapshot.getJson()).getOrElseThrow(ControlSession::failure));
        }
        return holder.current().version();
    }

    @Override
    public List<Event> timeline(long afterSequence, int limit) throws ControlFailure {
        requireAuthenticated();
        Timeline timeline = context.timeline();
        return timeline.after(afterSequence, Math.min(MAX_EVENTS, Math.max(0, limit))).stream()
                .map(WireMapper::toWire)
                .toList();
    }

    @Override
    public void drain(String reason) throws ControlFailure {
        requireAuthenticated();
        context.events().submit(new AgentEvent.DrainRequested(reason));
    }

    private void requireAuthenticated() throws ControlFailure {
        if (!authenticated) {
            throw failure(Failure.of(
                    ResultCode.PEER_NOT_AUTHENTICATED, "the entry has not proved the cluster key on this connection"));
        }
    }

    private static List<ModelDemand> readDemand(EntryReport report) throws ControlFailure {
        try {
            return report.getDemand().stream().map(WireMapper::fromWire).toList();
        } catch (IllegalArgumentException e) {
            throw failure(Failure.of(ResultCode.BAD_REQUEST, e.getMessage()));
        }
    }

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return bytes;
    }

    private static ControlFailure failure(Failure failure) {
        return new ControlFailure(failure.code().number(), failure.message(), failure.retryAfterMs());
    }
}
