/** The agent role: one process next to each endpoint, which controls it and runs attempts on it. */
package org.hawthornglade.agent;
