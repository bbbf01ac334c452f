package org.hawthornglade.agent.control;

import io.dropwizard.lifecycle.Managed;
import java.net.InetSocketAddress;
import org.apache.thrift.TProcessor;
import org.apache.thrift.TProcessorFactory;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.hawthornglade.protocol.gen.AgentControl;

/** Accepts the control connections of entries, with one thread for each, as there are few entries. */
public final class ControlServer implements Managed {
    /** The connection of a peer that sends nothing for longer than this is closed. */
    private static final int SILENCE_TIMEOUT_MS = 10_000;

    private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
    private static final int MAX_CONNECTIONS = 256;

    private final ControlContext context;
    private final InetSocketAddress address;
    private TServer server;

    /** Creates a server; {@link #start} starts it. */
    public ControlServer(ControlContext context, InetSocketAddress address) {
        this.context = context;
        this.address = address;
    }

    @Override
    public void start() throws TTransportException {
        TServerSocket socket = new TServerSocket(address, SILENCE_TIMEOUT_MS);
        server = new TThreadPoolServer(new TThreadPoolServer.Args(socket)
                .processorFactory(new SessionFactory(context))
                .transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
                .protocolFactory(new TCompactProtocol.Factory(MAX_FRAME_BYTES, MAX_FRAME_BYTES))
                .minWorkerThreads(1)
                .maxWorkerThreads(MAX_CONNECTIONS));
        Thread thread = new Thread(server::serve, "control-server");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void stop() {
        if (server != null) {
            server.stop();
        }
    }

    /** Creates a session for each connection. */
    private static final class SessionFactory extends TProcessorFactory {
        private final ControlContext context;

        SessionFactory(ControlContext context) {
            super(null);
            this.context = context;
        }

        @Override
        public TProcessor getProcessor(TTransport transport) {
            return new AgentControl.Processor<>(new ControlSession(context));
        }

        @Override
        public boolean isAsyncProcessor() {
            return false;
        }
    }
}
