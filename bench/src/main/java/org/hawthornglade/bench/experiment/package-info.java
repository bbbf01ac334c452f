/**
 * Runs policy experiments: the decisions of {@code core}, driven by seeded traces in virtual time.
 *
 * <p>Entries and agents are reduced to their decisions; the weight store and the endpoints are modelled by speeds
 * and limits. Networks and processes are not modelled.
 */
package org.hawthornglade.bench.experiment;
