package org.hawthornglade.entry.control;

import io.vavr.control.Either;
import org.apache.thrift.TException;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.protocol.gen.AgentControl;
import org.hawthornglade.protocol.gen.ControlFailure;

/**
 * A connection to an agent for single commands, opened on first use and reopened after a failure.
 *
 * <p>Commands are idempotent, so a command that fails on a reused connection is retried once on a new one.
 */
final class CommandChannel implements AutoCloseable {
    private static final long RETRY_AFTER_MS = 500;

    private final AgentAddress address;
    private final LinkContext context;
    private AgentConnection connection;

    CommandChannel(AgentAddress address, LinkContext context) {
        this.address = address;
        this.context = context;
    }

    synchronized <T> Either<Failure, T> call(Command<T> command) {
        boolean reused = connection != null;
        Either<Failure, T> first = callOnce(command);
        return first.isLeft() && reused && connection == null ? callOnce(command) : first;
    }

    @Override
    public synchronized void close() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private <T> Either<Failure, T> callOnce(Command<T> command) {
        try {
            if (connection == null) {
                connection =
                        AgentConnection.open(address, context.entryId(), context.keys(), context.silenceTimeoutMs());
            }
            return Either.right(command.run(connection.client()));
        } catch (ControlFailure e) {
            ResultCode code = ResultCode.ofNumber(e.getCode()).orElse(ResultCode.INTERNAL_ERROR);
            return Either.left(Failure.retryAfter(code, e.getMessage(), Math.max(0, e.getRetryAfterMs())));
        } catch (TException e) {
            close();
            return Either.left(Failure.retryAfter(
                    ResultCode.NO_ENDPOINT, "agent " + address.instance() + " is not reachable", RETRY_AFTER_MS));
        }
    }

    /** A call of the control protocol. */
    @FunctionalInterface
    interface Command<T> {
        T run(AgentControl.Client client) throws TException;
    }
}
