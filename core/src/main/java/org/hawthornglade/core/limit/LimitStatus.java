package org.hawthornglade.core.limit;

import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.notice.AdvertisedLimit;

/**
 * What the leader tells an entry of one endpoint with a limit.
 *
 * @param instance the endpoint
 * @param bornMs the start of it that is meant
 * @param limit the newest word of the endpoint, on the leader's steady clock
 * @param permits how many requests the entry may send there, besides what it was told before
 * @param othersWaiting the calls that wait at other entries for this endpoint
 */
public record LimitStatus(InstanceId instance, long bornMs, AdvertisedLimit limit, int permits, int othersWaiting) {}
