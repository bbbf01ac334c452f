/**
 * Rate limits shared by all entries: the leader grants permits for endpoints that advertise a limit.
 *
 * <p>An entry sends nothing to a rate-limited endpoint without a permit of the leader. Permits are granted from one
 * token bucket per endpoint and expire soon after they were requested, by the entry's own clock, so that neither a
 * suspended process nor a change of the leader lets more requests through.
 */
package org.hawthornglade.core.limit;
