/** Provides a virtual time that advances from one scheduled action to the next. */
package org.hawthornglade.bench.time;
