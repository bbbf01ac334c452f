/** The decisions of an agent: loads, unloads, attempts, drain. */
package org.hawthornglade.core.agent;
