/** At-most-once execution: claims in the table service. */
package org.hawthornglade.entry.claim;
