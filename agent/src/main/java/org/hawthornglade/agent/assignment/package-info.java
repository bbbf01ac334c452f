/** The rows in the table service that concern this instance. */
package org.hawthornglade.agent.assignment;
