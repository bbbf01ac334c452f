package org.hawthornglade.entry.operator;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.inject.Inject;
import io.vavr.control.Either;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.DefaultValue;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.io.InputStream;
import java.util.function.Function;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.event.EventDraft;
import org.hawthornglade.core.event.EventKind;
import org.hawthornglade.core.event.Timeline;
import org.hawthornglade.core.event.TimelineFilter;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;
import org.hawthornglade.core.plan.IntentJson;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.plan.PlanRefusal;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.entry.control.AgentLinks;
import org.hawthornglade.ports.configuration.ConfirmRefusal;
import org.hawthornglade.ports.configuration.Confirmation;
import org.hawthornglade.ports.configuration.PlanService;

/** The HTTP routes for operators, each of which requires an operator token. */
@Path("/operator")
@Produces(MediaType.APPLICATION_JSON)
public final class OperatorResource {
    private static final int MAX_INTENT_BYTES = 1024 * 1024;
    private static final int MAX_EVENTS = 10_000;

    private final OperatorTokens tokens;
    private final PlanService planService;
    private final StatusReader status;
    private final Explainer explainer;
    private final TimelineCollector timelines;
    private final AgentLinks links;
    private final ConfigurationHolder holder;
    private final Timeline timeline;
    private final InstanceId self;

    /** Creates the resource. */
    @Inject
    public OperatorResource(
            OperatorTokens tokens,
            PlanService planService,
            StatusReader status,
            Explainer explainer,
            TimelineCollector timelines,
            AgentLinks links,
            ConfigurationHolder holder,
            Timeline timeline,
            InstanceId self) {
        this.tokens = tokens;
        this.planService = planService;
        this.status = status;
        this.explainer = explainer;
        this.timelines = timelines;
        this.links = links;
        this.holder = holder;
        this.timeline = timeline;
        this.self = self;
    }

    /** Makes a plan from an intent. */
    @POST
    @Path("/plans")
    @Consumes(MediaType.WILDCARD)
    public Response plan(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, InputStream in)
            throws IOException {
        byte[] body = in.readNBytes(MAX_INTENT_BYTES + 1);
        return asOffice(authorization, office -> plan(office, authorization, body));
    }

    /** Puts a plan into force. */
    @POST
    @Path("/plans/{id}/confirm")
    @Consumes(MediaType.WILDCARD)
    public Response confirm(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @PathParam("id") String id) {
        return asOffice(authorization, office -> confirm(office, authorization, id));
    }

    /** Returns the state of the whole system. */
    @GET
    @Path("/status")
    public Response status(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization) {
        return asOffice(
                authorization, office -> Response.ok(status.read(authorization)).build());
    }

    /** Explains a request. */
    @GET
    @Path("/explain/requests/{id: .+}")
    public Response explainRequest(
            @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @PathParam("id") String id) {
        return asOffice(authorization, office -> explanation(explainer.request(id, authorization)));
    }

    /** Explains a model or adapter. */
    @GET
    @Path("/explain/models/{name: .+}")
    public Response explainModel(
            @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @PathParam("name") String name) {
        return asOffice(authorization, office -> explanation(explainer.model(name, authorization)));
    }

    /** Makes an instance accept no new work and finish its running attempts. */
    @POST
    @Path("/instances/{id}/drain")
    @Consumes(MediaType.WILDCARD)
    public Response drain(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @PathParam("id") String id) {
        return asOffice(authorization, office -> drain(office, id));
    }

    /** Returns the merged timeline of all processes. */
    @GET
    @Path("/timeline")
    public Response timeline(
            @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
            @QueryParam("request") String request,
            @QueryParam("model") String model,
            @QueryParam("instance") String instance,
            @QueryParam("fromMs") @DefaultValue("0") long fromMs,
            @QueryParam("toMs") @DefaultValue("9223372036854775807") long toMs) {
        TimelineFilter filter = new TimelineFilter(request, model, instance, fromMs, toMs);
        return asOffice(
                authorization,
                office -> Response.ok(timelines.collect(filter, MAX_EVENTS, authorization))
                        .build());
    }

    /** Returns the state of this entry only; used by other entries. */
    @GET
    @Path("/node")
    public Response node(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization) {
        NodeInfo info = new NodeInfo(self.value(), holder.current().version());
        return asOffice(authorization, office -> Response.ok(info).build());
    }

    /** Returns the events of this entry only; used by other entries. */
    @GET
    @Path("/node/timeline")
    public Response nodeTimeline(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization) {
        return asOffice(authorization, office -> Response.ok(timelines.local()).build());
    }

    private Response plan(OfficeId office, String authorization, byte[] body) {
        if (body.length > MAX_INTENT_BYTES) {
            return OperatorResponses.failure(
                    Failure.of(ResultCode.BODY_TOO_LARGE, "the intent is larger than " + MAX_INTENT_BYTES + " bytes"));
        }
        status.refreshEntryVersions(authorization);
        Either<PlanRefusal, Plan> plan = IntentJson.read(new String(body, UTF_8))
                .mapLeft(PlanRefusal::of)
                .flatMap(intent -> planService.plan(office, intent));
        plan.peek(made -> timeline.record(EventDraft.of(EventKind.PLAN_MADE)
                .configVersion(made.baseVersion())
                .detail(made.id() + " by " + office + ", " + made.changes().size() + " changes")));
        return plan.fold(OperatorResponses::refusal, made -> Response.ok(made).build());
    }

    private Response confirm(OfficeId office, String authorization, String id) {
        PlanId planId;
        try {
            planId = PlanId.of(id);
        } catch (IllegalArgumentException e) {
            return OperatorResponses.failure(Failure.of(ResultCode.UNKNOWN_PLAN, e.getMessage()));
        }
        // The refusal of a stale plan includes a fresh one, which lists the processes with an old configuration.
        status.refreshEntryVersions(authorization);
        Either<ConfirmRefusal, Confirmation> confirmed = planService.confirm(office, planId);
        confirmed
                .peek(confirmation -> confirmed(office, planId, confirmation.configuration()))
                .peekLeft(refusal -> timeline.record(EventDraft.of(EventKind.PLAN_REFUSED)
                        .code(refusal.failure().code())
                        .detail(planId + " by " + office)));
        return confirmed.fold(OperatorResponses::refusal, OperatorResponses::confirmed);
    }

    private void confirmed(OfficeId office, PlanId plan, Configuration configuration) {
        timeline.record(EventDraft.of(EventKind.PLAN_CONFIRMED)
                .configVersion(configuration.version())
                .detail(plan + " by " + office));
        holder.offer(configuration);
    }

    private Response drain(OfficeId office, String id) {
        InstanceId instance;
        try {
            instance = InstanceId.of(id);
        } catch (IllegalArgumentException e) {
            return OperatorResponses.failure(Failure.of(ResultCode.UNKNOWN_INSTANCE, e.getMessage()));
        }
        return links.drain(instance, "requested by office " + office)
                .fold(
                        OperatorResponses::failure,
                        started -> Response.accepted(new OperatorResponses.Draining(id))
                                .build());
    }

    private Response asOffice(String authorization, Function<OfficeId, Response> action) {
        return tokens.authenticate(authorization).fold(OperatorResponses::failure, action);
    }

    private static Response explanation(Either<Failure, Explanation> explanation) {
        return explanation.fold(
                OperatorResponses::failure, found -> Response.ok(found).build());
    }
}
