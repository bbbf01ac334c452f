/** Delayed actions and rate limits, by the system clock or a manual clock. */
package org.hawthornglade.standin.time;
