/** Reads and writes the rows of the agent's instance in the table service. */
package org.hawthornglade.agent.assignment;
