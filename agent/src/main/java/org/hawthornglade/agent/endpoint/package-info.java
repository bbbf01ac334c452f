/** The endpoint beside the agent: engine reports and orders, or the health of a plain service. */
package org.hawthornglade.agent.endpoint;
