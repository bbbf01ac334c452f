/** The clock: milliseconds everywhere. */
package org.hawthornglade.core.time;
