/** Measures sizes of messages and state, from which {@code docs/CAPACITY.md} is worked out. */
package org.hawthornglade.bench.capacity;
