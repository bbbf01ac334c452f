/** Attempts: from the entry to the endpoint, and the answer back as frames. */
package org.hawthornglade.agent.attempt;
