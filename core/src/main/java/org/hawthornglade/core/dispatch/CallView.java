package org.hawthornglade.core.dispatch;

import com.google.common.base.Suppliers;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.RequestDigest;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.resumption.StreamOrigin;
import org.hawthornglade.core.serving.Route;
import org.hawthornglade.core.team.CallerIdentity;
import org.hawthornglade.core.team.Team;

/** The state of one call that dispatch decisions depend on. */
public final class CallView {
    private final Route route;
    private final Optional<ModelDemand> demand;
    private final long arrivedAtMs;
    private final long deadlineAtMs;
    private final Set<InstanceId> tried = new HashSet<>();
    private final Supplier<Optional<RequestDigest>> digest;
    private final CallerIdentity caller;
    private ServiceName service;
    private Optional<SoftwareVersion> streamVersion = Optional.empty();
    private long lastProgressAtMs;
    private boolean trial;

    /**
     * Creates the view of a call.
     *
     * @param service the target chosen from the route's services
     * @param demand present where the service runs models
     * @param arrivedAtMs when the request was read
     * @param deadlineAtMs when the call expires by its caller's or its route's timeout
     */
    public CallView(
            ServiceName service, Route route, Optional<ModelDemand> demand, long arrivedAtMs, long deadlineAtMs) {
        this(service, route, demand, arrivedAtMs, deadlineAtMs, Optional::empty);
    }

    /**
     * Creates the view of a call whose request has a digest.
     *
     * @param service the target chosen from the route's services
     * @param demand present where the service runs models
     * @param arrivedAtMs when the request was read
     * @param deadlineAtMs when the call expires by its caller's or its route's timeout
     * @param digest computes the digest, which is empty if the request is not held any more
     */
    public CallView(
            ServiceName service,
            Route route,
            Optional<ModelDemand> demand,
            long arrivedAtMs,
            long deadlineAtMs,
            Supplier<Optional<RequestDigest>> digest) {
        this(service, route, demand, arrivedAtMs, deadlineAtMs, digest, CallerIdentity.NO_TEAMS);
    }

    /**
     * Creates the view of a call of an identified caller.
     *
     * @param service the target chosen from the route's services
     * @param demand present where the service runs models
     * @param arrivedAtMs when the request was read
     * @param deadlineAtMs when the call expires by its caller's or its route's timeout
     * @param digest computes the digest, which is empty if the request is not held any more
     * @param caller who sent the call
     */
    public CallView(
            ServiceName service,
            Route route,
            Optional<ModelDemand> demand,
            long arrivedAtMs,
            long deadlineAtMs,
            Supplier<Optional<RequestDigest>> digest,
            CallerIdentity caller) {
        this.caller = caller;
        this.digest = Suppliers.memoize(digest::get);
        this.service = service;
        this.route = route;
        this.demand = demand;
        this.arrivedAtMs = arrivedAtMs;
        this.deadlineAtMs = deadlineAtMs;
        this.lastProgressAtMs = arrivedAtMs;
    }

    /** Returns the target service; it changes only when a stream is taken up that another one has begun. */
    public ServiceName service() {
        return service;
    }

    public Route route() {
        return route;
    }

    /** Returns who sent the call. */
    public CallerIdentity caller() {
        return caller;
    }

    /** Returns the team of the caller; empty without teams, or on a public route without a known key. */
    public Optional<Team> team() {
        return caller.team();
    }

    /** Returns the priority of the call, 0 is the highest: that of its team if it has one, else that of its route. */
    public int priority() {
        return caller.team()
                .map(team -> team.priority().orElse(route.priority()))
                .orElse(route.priority());
    }

    public Optional<ModelDemand> demand() {
        return demand;
    }

    /** Returns the digest of the request, computed at the first call of this method. */
    public Optional<RequestDigest> digest() {
        return digest.get();
    }

    public long arrivedAtMs() {
        return arrivedAtMs;
    }

    public long deadlineAtMs() {
        return deadlineAtMs;
    }

    /** Returns when the caller abandons the call unless more of the response has arrived by then. */
    public long abandonAtMs() {
        return Math.min(deadlineAtMs, lastProgressAtMs + route.abandonMs());
    }

    /** Returns when the last part of the response was sent to the caller; the arrival time if none was. */
    public long lastProgressAtMs() {
        return lastProgressAtMs;
    }

    /** Records that a part of the response was sent to the caller. */
    public void onProgress(long nowMs) {
        lastProgressAtMs = nowMs;
    }

    /** Lets this call be sent although its prompt is in quarantine, to find out whether it still has to be. */
    public void markTrial() {
        trial = true;
    }

    public boolean trial() {
        return trial;
    }

    /** Records which version of an instance's software has begun the stream; the first one stays. */
    public void onStreamBegun(SoftwareVersion version) {
        if (streamVersion.isEmpty()) {
            streamVersion = Optional.of(version);
        }
    }

    /** Lets the call go on with a stream that an earlier one has begun. */
    public void onTakenUp(StreamOrigin origin) {
        service = origin.service();
        streamVersion = Optional.of(origin.version());
    }

    /** Returns the version at which the stream must go on; empty if it has not begun. */
    public Optional<SoftwareVersion> streamVersion() {
        return streamVersion;
    }

    /** Returns whether the call may run on an instance with this version of its software. */
    public boolean mayRunAt(SoftwareVersion version) {
        return streamVersion.isEmpty() || streamVersion.get().compatibleWith(version);
    }

    /** Returns the instances to which this call has been sent. */
    public Set<InstanceId> tried() {
        return tried;
    }

    public long remainingMs(long nowMs) {
        return deadlineAtMs - nowMs;
    }
}
