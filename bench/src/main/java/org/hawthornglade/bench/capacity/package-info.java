/** Measures the sizes of messages and state from which {@code docs/CAPACITY.md} is computed. */
package org.hawthornglade.bench.capacity;
