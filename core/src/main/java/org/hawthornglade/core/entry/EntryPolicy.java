package org.hawthornglade.core.entry;

import java.util.random.RandomGenerator;
import org.hawthornglade.core.admission.AdmissionQueue;
import org.hawthornglade.core.admission.AdmissionWeights;
import org.hawthornglade.core.admission.DeadlineAdmissionQueue;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.retry.Backoff;
import org.hawthornglade.core.retry.RetryBudget;
import org.hawthornglade.core.routing.AffinityChooser;
import org.hawthornglade.core.routing.EndpointChooser;

/**
 * The replaceable policies of an entry.
 *
 * @param domain the failure domain of the entry
 * @param queue decides which requests wait and in which order
 * @param chooser decides which endpoint runs a request
 * @param retries limits how many attempts may be retried
 * @param backoff the delay before a retry
 * @param random the source of all randomness
 */
public record EntryPolicy(
        FailureDomain domain,
        AdmissionQueue queue,
        EndpointChooser chooser,
        RetryBudget retries,
        Backoff backoff,
        RandomGenerator random) {
    private static final double AFFINITY_TOLERANCE = 0.25;
    private static final double RETRY_SHARE = 0.2;
    private static final double MAX_RETRY_BURST = 50;
    private static final Backoff RETRY_BACKOFF = new Backoff(20, 500);

    /** Returns the standard policies of an entry. */
    public static EntryPolicy standard(FailureDomain domain, RandomGenerator random) {
        return new EntryPolicy(
                domain,
                new DeadlineAdmissionQueue(AdmissionWeights.of(Configuration.empty())),
                new AffinityChooser(AFFINITY_TOLERANCE),
                new RetryBudget(RETRY_SHARE, MAX_RETRY_BURST),
                RETRY_BACKOFF,
                random);
    }
}
