/**
 * Limits that all entries share: a bucket for each, and how the leader deals what a limited endpoint takes.
 *
 * <p>An entry sends nothing to a limited endpoint without a permit of the leader. Permits are dealt out of one bucket
 * an endpoint, end soon, and count from when they were asked for on the entry's own clock, so that neither a pause
 * nor a change of the leader lets more through.
 */
package org.hawthornglade.core.limit;
