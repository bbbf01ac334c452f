/** Polls the agent's endpoint: engine reports and orders, or the health of a plain service. */
package org.hawthornglade.agent.endpoint;
