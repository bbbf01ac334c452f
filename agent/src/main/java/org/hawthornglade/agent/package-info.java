/** The agent role: one process beside each endpoint. */
package org.hawthornglade.agent;
