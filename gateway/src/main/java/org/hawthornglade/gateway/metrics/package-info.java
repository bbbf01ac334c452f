/** Counters and latency histograms of an entry, as text for a scraper. */
package org.hawthornglade.gateway.metrics;
