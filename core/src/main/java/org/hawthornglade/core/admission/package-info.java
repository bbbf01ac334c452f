/** Which waiting requests are taken in, in which order they are dispatched, and which are refused and when. */
package org.hawthornglade.core.admission;
