package org.hawthornglade.entry.operator;

import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.event.TimelineEvent;
import org.hawthornglade.core.event.TimelineFilter;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.core.report.ReplicaView;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Explains a request or a model from the merged timeline and the current state. */
public final class Explainer {
    private static final int MAX_EVENTS = 200;

    private final TimelineCollector timeline;
    private final ConfigurationHolder holder;
    private final FleetTracker fleet;

    /** Creates an explainer. */
    public Explainer(TimelineCollector timeline, ConfigurationHolder holder, FleetTracker fleet) {
        this.timeline = timeline;
        this.holder = holder;
        this.fleet = fleet;
    }

    /** Explains a request; returns a failure with code UNKNOWN_REQUEST if no timeline contains it. */
    public Either<Failure, Explanation> request(String request, String authorization) {
        MergedTimeline merged = timeline.collect(TimelineFilter.all(), Integer.MAX_VALUE, authorization);
        RequestTimeline requestTimeline = RequestTimeline.of(request, merged.events(), this::baseOf);
        if (requestTimeline.requestEvents().isEmpty()) {
            return Either.left(Failure.of(
                    ResultCode.UNKNOWN_REQUEST,
                    "none of the processes that responded has events of request " + request));
        }
        MergedTimeline selected = new MergedTimeline(requestTimeline.merged(MAX_EVENTS), merged.missing());
        return Either.right(explanation(request, outcome(requestTimeline.requestEvents()), selected));
    }

    /**
     * Explains a model or adapter; returns a failure with code UNKNOWN_MODEL if neither the configuration nor the
     * timeline has it, or if the name is invalid.
     */
    public Either<Failure, Explanation> model(String model, String authorization) {
        Either<Failure, ModelName> name = name(model);
        if (name.isLeft()) {
            return Either.left(name.getLeft());
        }
        MergedTimeline merged = timeline.collect(TimelineFilter.ofModel(model), MAX_EVENTS, authorization);
        Optional<ModelSpec> spec = holder.current().baseOf(name.get());
        if (spec.isEmpty() && merged.events().isEmpty()) {
            return Either.left(Failure.of(ResultCode.UNKNOWN_MODEL, "there is no model or adapter " + model));
        }
        return Either.right(explanation(model, modelState(name.get(), spec), merged));
    }

    /** Returns the configured base model of a model or adapter, or the name itself if it is not configured. */
    private String baseOf(String model) {
        return name(model)
                .toJavaOptional()
                .flatMap(found -> holder.current().baseOf(found))
                .map(spec -> spec.name().value())
                .orElse(model);
    }

    private static Either<Failure, ModelName> name(String model) {
        try {
            return Either.right(ModelName.of(model));
        } catch (IllegalArgumentException e) {
            return Either.left(Failure.of(ResultCode.UNKNOWN_MODEL, e.getMessage()));
        }
    }

    private static Explanation explanation(String subject, String state, MergedTimeline merged) {
        List<String> formattedEvents =
                merged.events().stream().map(Explainer::format).toList();
        return new Explanation(subject, state, formattedEvents, merged.events(), merged.missing());
    }

    private static String outcome(List<TimelineEvent> events) {
        return events.stream()
                .filter(event ->
                        event.kind() == EventKind.REQUEST_ANSWERED || event.kind() == EventKind.REQUEST_REFUSED)
                .reduce((first, last) -> last)
                .map(Explainer::format)
                .orElse("not answered yet, or its final event is no longer in the timeline");
    }

    private String modelState(ModelName name, Optional<ModelSpec> spec) {
        Configuration configuration = holder.current();
        if (spec.isEmpty()) {
            return "not in configuration " + configuration.version();
        }
        List<String> replicas = fleet.listedInstances().stream()
                .flatMap(info -> replicas(info, spec.get().name()))
                .toList();
        String base =
                spec.get().name().equals(name) ? "" : " (on base " + spec.get().name() + ")";
        return "at most %d replicas by configuration %d%s; assigned: %s"
                .formatted(
                        spec.get().maxReplicas(),
                        configuration.version(),
                        base,
                        replicas.isEmpty() ? "none reported" : String.join(", ", replicas));
    }

    private Stream<String> replicas(InstanceInfo info, ModelName base) {
        return fleet.view(info.id()).stream()
                .flatMap(view -> view.replicas().stream())
                .filter(replica -> replica.model().equals(base))
                .map(replica -> describe(info, replica));
    }

    private static String describe(InstanceInfo info, ReplicaView replica) {
        String adapters = replica.adapters().stream().map(ModelName::value).collect(Collectors.joining(" "));
        return "#%d at %s %s, %d running%s"
                .formatted(
                        replica.ordinal(),
                        info.id(),
                        replica.phase().name().toLowerCase(Locale.ROOT),
                        replica.running(),
                        adapters.isEmpty() ? "" : ", adapters " + adapters);
    }

    /** Formats an event as one line, such as "load decided by agent-2 on instance e2: queued 3". */
    static String format(TimelineEvent event) {
        StringBuilder text =
                new StringBuilder(event.kind().name().toLowerCase(Locale.ROOT).replace('_', ' '));
        text.append(" by ").append(event.process());
        if (event.instance() != null) {
            text.append(" on instance ").append(event.instance());
        }
        if (event.code() != 0) {
            String code = ResultCode.ofNumber(event.code()).map(Enum::name).orElse("code " + event.code());
            text.append(", ").append(code);
        }
        if (!event.detail().isEmpty()) {
            text.append(": ").append(event.detail());
        }
        return text.toString();
    }
}
