/** Admission of requests to the waiting queues, the order in which they are dispatched, and their rejection. */
package org.hawthornglade.core.admission;
