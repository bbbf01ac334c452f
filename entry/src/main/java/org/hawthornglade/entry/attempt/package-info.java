/** Sending requests to agents and passing their answers on. */
package org.hawthornglade.entry.attempt;
