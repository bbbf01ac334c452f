/** Metrics by Micrometer, shown as a Prometheus page. */
package org.hawthornglade.node.metrics;
