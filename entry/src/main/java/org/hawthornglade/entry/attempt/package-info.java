/** Sends requests to agents and forwards their responses. */
package org.hawthornglade.entry.attempt;
