/** At-most-once execution of calls, by claims in the table service. */
package org.hawthornglade.entry.claim;
