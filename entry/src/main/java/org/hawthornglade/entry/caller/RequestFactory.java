package org.hawthornglade.entry.caller;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.hawthornglade.core.config.AdapterSpec;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.config.OperationSpec;
import org.hawthornglade.core.config.ServiceSpec;
import org.hawthornglade.core.entry.IncomingRequest;
import org.hawthornglade.core.entry.Target;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.Clock;

/** Validates callers' requests against the configuration and assigns their ids, service classes and deadlines. */
public final class RequestFactory {
    private static final long DEFAULT_DEADLINE_MS = 30_000;
    private static final long MAX_DEADLINE_MS = 600_000;
    private static final double DEFAULT_WEIGHT = 1;

    private final ConfigurationHolder configuration;
    private final Clock clock;
    private final String prefix;
    private final AtomicLong counter = new AtomicLong();

    /**
     * Creates a factory.
     *
     * @param prefix the prefix of all request ids; must differ between entries and between runs of an entry
     */
    public RequestFactory(ConfigurationHolder configuration, Clock clock, String prefix) {
        this.configuration = configuration;
        this.clock = clock;
        this.prefix = prefix;
    }

    /** Returns a new, unique request id. */
    public RequestId nextId() {
        return RequestId.of(prefix + "-" + counter.incrementAndGet());
    }

    /** Validates a request to a model. */
    public Either<Failure, IncomingRequest> modelRequest(RequestId id, Caller caller, String model, String deadline) {
        return readDeadline(deadline)
                .flatMap(deadlineMs ->
                        findModel(caller, model).map(target -> request(id, caller, target, deadlineMs, true)));
    }

    /** Validates a call to a plain service. */
    public Either<Failure, IncomingRequest> serviceRequest(
            RequestId id, Caller caller, ServiceName service, OperationSpec operation, String deadline) {
        return readDeadline(deadline)
                .map(deadlineMs ->
                        request(id, caller, new Target.OnService(service), deadlineMs, operation.idempotent()));
    }

    /** Finds the operation of a call: of those that match, the one with the longest path prefix. */
    Either<Failure, OperationSpec> findOperation(Caller caller, ServiceName name, String method, ServicePath path) {
        Optional<ServiceSpec> service = configuration.current().service(name);
        if (service.isEmpty()) {
            return Either.left(Failure.of(ResultCode.UNKNOWN_SERVICE, "there is no service " + name));
        }
        if (!service.get().organisations().contains(caller.organisation())) {
            return Either.left(Failure.of(
                    ResultCode.FORBIDDEN_SERVICE,
                    "service " + name + " is not available to the organisation of this key"));
        }
        OperationSpec best = null;
        for (OperationSpec operation : service.get().operations()) {
            boolean matches = operation.method().equals(method) && path.isBelow(operation.pathPrefix());
            if (matches
                    && (best == null
                            || best.pathPrefix().length()
                                    < operation.pathPrefix().length())) {
                best = operation;
            }
        }
        if (best == null) {
            return Either.left(Failure.of(
                    ResultCode.UNKNOWN_OPERATION, "service " + name + " has no " + method + " " + path.raw()));
        }
        return Either.right(best);
    }

    /** Returns the names of all models and adapters that an organisation may use. */
    public List<ModelName> allowedModels(OrganisationId organisation) {
        Configuration current = configuration.current();
        return Stream.concat(
                        current.models().stream()
                                .filter(spec -> spec.organisations().contains(organisation))
                                .map(ModelSpec::name),
                        current.adapters().stream()
                                .filter(spec -> spec.organisations().contains(organisation))
                                .map(AdapterSpec::name))
                .toList();
    }

    /** Returns when the configuration in force was confirmed, in seconds since the Unix epoch. */
    long configuredAtSeconds() {
        return TimeUnit.MILLISECONDS.toSeconds(configuration.current().confirmedAtMs());
    }

    /** Returns the base model of a model or adapter; {@code name} itself if it is not known. */
    ModelName baseOf(ModelName name) {
        return configuration.current().baseOf(name).map(ModelSpec::name).orElse(name);
    }

    private Either<Failure, Target> findModel(Caller caller, String text) {
        ModelName name;
        try {
            name = ModelName.of(text);
        } catch (IllegalArgumentException e) {
            return Either.left(Failure.of(ResultCode.UNKNOWN_MODEL, e.getMessage()));
        }
        Configuration current = configuration.current();
        Optional<ModelSpec> base = current.baseOf(name);
        if (base.isEmpty()) {
            return Either.left(Failure.of(ResultCode.UNKNOWN_MODEL, "there is no model " + name));
        }
        Optional<AdapterSpec> adapter = current.adapter(name);
        List<OrganisationId> allowed =
                adapter.map(AdapterSpec::organisations).orElse(base.get().organisations());
        if (!allowed.contains(caller.organisation())) {
            return Either.left(Failure.of(
                    ResultCode.FORBIDDEN_MODEL, "model " + name + " is not available to the organisation of this key"));
        }
        ModelName adapterName = adapter.map(AdapterSpec::name).orElse(null);
        return Either.right(new Target.OnModel(base.get().name(), adapterName));
    }

    private static Either<Failure, Long> readDeadline(String text) {
        if (text == null) {
            return Either.right(0L);
        }
        try {
            long deadlineMs = Long.parseLong(text.strip());
            if (deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS) {
                return Either.right(deadlineMs);
            }
        } catch (NumberFormatException e) {
            return Either.left(badDeadline());
        }
        return Either.left(badDeadline());
    }

    private static Failure badDeadline() {
        return Failure.of(ResultCode.BAD_DEADLINE, "X-Deadline-Ms must be an integer from 1 to " + MAX_DEADLINE_MS);
    }

    private IncomingRequest request(RequestId id, Caller caller, Target target, long deadlineMs, boolean idempotent) {
        Optional<ClassSpec> spec = configuration.current().serviceClass(caller.serviceClass());
        long allowedMs = deadlineMs > 0
                ? deadlineMs
                : spec.map(ClassSpec::defaultDeadlineMs).orElse(DEFAULT_DEADLINE_MS);
        long nowMs = clock.nowMs();
        return new IncomingRequest(
                id,
                target,
                caller.organisation(),
                caller.serviceClass(),
                spec.map(ClassSpec::weight).orElse(DEFAULT_WEIGHT),
                nowMs,
                nowMs + allowedMs,
                idempotent);
    }
}
