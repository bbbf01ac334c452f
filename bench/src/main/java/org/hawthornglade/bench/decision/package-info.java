/** JMH benchmarks of single decisions at the current sizes and at ten and a hundred times those. */
package org.hawthornglade.bench.decision;
