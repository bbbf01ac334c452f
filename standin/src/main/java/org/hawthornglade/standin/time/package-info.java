/** Delayed actions by a real or a manual clock. */
package org.hawthornglade.standin.time;
