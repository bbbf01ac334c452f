package org.hawthornglade.entry.control;

import java.nio.ByteBuffer;
import java.security.SecureRandom;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.node.auth.ClusterKeys;
import org.hawthornglade.node.auth.ProofPurposes;
import org.hawthornglade.protocol.gen.AgentControl;
import org.hawthornglade.protocol.gen.Challenge;
import org.hawthornglade.protocol.gen.ControlFailure;

/** One authenticated control connection to an agent; for use by one thread at a time. */
public final class AgentConnection implements AutoCloseable {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int NONCE_BYTES = 32;
    private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    private final TTransport transport;
    private final AgentControl.Client client;

    private AgentConnection(TTransport transport, AgentControl.Client client) {
        this.transport = transport;
        this.client = client;
    }

    /**
     * Opens a connection on which both sides prove that they have the cluster key.
     *
     * @param address the address of the agent
     * @param entryId the id of the connecting entry
     * @param keys the cluster keys
     * @param silenceTimeoutMs the time without data after which a call fails, in milliseconds
     * @throws TException if the agent cannot be reached, or one side rejects the other's proof
     */
    public static AgentConnection open(AgentAddress address, String entryId, ClusterKeys keys, int silenceTimeoutMs)
            throws TException {
        TConfiguration limits =
                new TConfiguration(MAX_FRAME_BYTES, MAX_FRAME_BYTES, TConfiguration.DEFAULT_RECURSION_DEPTH);
        TTransport transport = new TFramedTransport(
                new TSocket(limits, address.host(), address.controlPort(), silenceTimeoutMs, silenceTimeoutMs));
        try {
            transport.open();
            AgentControl.Client client = new AgentControl.Client(new TCompactProtocol(transport));
            authenticate(client, address, entryId, keys);
            return new AgentConnection(transport, client);
        } catch (TException | RuntimeException e) {
            transport.close();
            throw e;
        }
    }

    public AgentControl.Client client() {
        return client;
    }

    @Override
    public void close() {
        transport.close();
    }

    private static void authenticate(AgentControl.Client client, AgentAddress address, String entryId, ClusterKeys keys)
            throws TException {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        Challenge challenge = client.hello(entryId, ByteBuffer.wrap(nonce));
        if (!keys.verify(ProofPurposes.AGENT_HELLO, nonce, challenge.getProof())) {
            throw notAuthenticated("the agent's proof of the cluster key is invalid");
        }
        if (!challenge.getInstanceId().equals(address.instance().value())) {
            throw notAuthenticated(
                    "instance " + challenge.getInstanceId() + " answers at the address of another instance");
        }
        client.prove(ByteBuffer.wrap(keys.prove(ProofPurposes.ENTRY_HELLO, challenge.getNonce())));
    }

    private static ControlFailure notAuthenticated(String message) {
        return new ControlFailure(ResultCode.PEER_NOT_AUTHENTICATED.number(), message, 0);
    }
}
