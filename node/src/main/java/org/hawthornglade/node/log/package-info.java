/** Logs: one line of key=value pairs for each event. */
package org.hawthornglade.node.log;
