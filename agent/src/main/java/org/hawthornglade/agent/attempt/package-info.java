/** Runs attempts from entries at the endpoint and sends the answers back as frames. */
package org.hawthornglade.agent.attempt;
