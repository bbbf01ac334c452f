/** Time that moves from one action to the next. */
package org.hawthornglade.bench.time;
