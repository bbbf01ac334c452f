/**
 * Policy experiments: the decisions of {@code core} driven by seeded traces in virtual time.
 *
 * <p>Entries and agents are reduced to their decisions; the weight store and the endpoints are small tables of speeds
 * and limits. No network and no process is modelled.
 */
package org.hawthornglade.bench.experiment;
