/** JMH benchmarks of single decisions at today's sizes and at ten and a hundred times those. */
package org.hawthornglade.bench.decision;
