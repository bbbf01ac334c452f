/** Micrometer metrics, exposed as a page in the Prometheus format. */
package org.hawthornglade.node.metrics;
